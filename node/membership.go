package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"auburngap/backend"
	"auburngap/directory"
)

// membershipInterval is the time between two looks at whether the backend
// server still announces itself.
const membershipInterval = 250 * time.Millisecond

// membership tells the directory of this VM's backend server.
type membership struct {
	directory *directory.Directory
	announced *announcements
	local     *localHandler
	// onService is told when the backend server's service changes.
	onService func()

	mu sync.Mutex
	// since is when the service at hand was first announced.
	since   time.Time
	service string
}

// Run tells the directory until the context ends.
func (m *membership) Run(ctx context.Context) error {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		m.tell()
		select {
		case <-ctx.Done():
			return nil
		case <-m.announced.changed:
		case <-ticker.C:
		}
	}
}

func (m *membership) tell() {
	m.mu.Lock()
	defer m.mu.Unlock()
	announced, ok := m.announced.Current()
	if !ok || !m.local.isReady() {
		announced = backend.Announcement{}
	}
	if announced.Service != m.service {
		m.service = announced.Service
		m.since = time.Now()
		m.onService()
	}
	load := m.local.guard.load(false)
	m.directory.SetBackend(directory.Backend{
		Service:     announced.Service,
		Slots:       announced.Slots,
		Connections: announced.Connections,
		Load:        load.InFlight.Total(),
		Draining:    announced.Draining || m.local.leaving.Load(),
		Since:       m.since,
	})
}

// newRandom returns a random source for decisions that need no secrecy.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
