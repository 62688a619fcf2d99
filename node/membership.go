package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"auburngap/backend"
	"auburngap/directory"
)

// membershipInterval is the time between two checks that the backend
// server still announces itself.
const membershipInterval = 250 * time.Millisecond

// membership publishes this VM's backend server to the directory.
type membership struct {
	directory *directory.Directory
	announced *announcements
	local     *localHandler
	// onServiceChange is called when the backend server's service changes.
	onServiceChange func()

	mu sync.Mutex
	// since is when the current service was first announced.
	since   time.Time
	service string
}

// Run keeps the directory up to date until the context ends.
func (m *membership) Run(ctx context.Context) error {
	ticker := time.NewTicker(membershipInterval)
	defer ticker.Stop()
	for {
		m.publish()
		select {
		case <-ctx.Done():
			return nil
		case <-m.announced.changed:
		case <-ticker.C:
		}
	}
}

func (m *membership) publish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	announced, ok := m.announced.Current()
	if !ok || !m.local.isReady() {
		announced = backend.Announcement{}
	}
	if announced.Service != m.service {
		m.service = announced.Service
		m.since = time.Now()
		m.onServiceChange()
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

// newRandom returns a random source that is not cryptographically secure.
func newRandom() *rand.Rand {
	return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
}
