package commitment

import "time"

// Admission is what the node beside a backend server decides about a dispatch.
type Admission uint8

// The admissions.
const (
	// Repeated means that the permission has been used here: what became of it
	// is known to the first dispatch alone.
	Repeated Admission = iota
	// Admitted lets the commitment run.
	Admitted
	// Stale means that the permission is too old; the dispatch has not run.
	Stale
)

// Fence sees at the node beside a backend server that each permission is used
// once, soon, and not after a later owner's has been seen. It is not safe for
// concurrent use.
type Fence struct {
	terms  Terms
	epochs map[Home]uint64
	used   map[Key]use
	pruned time.Time
	// recent remembers what was let through, apart from used.
	recent   recent
	violated func(invariant string)
}

// FenceConfig configures a Fence.
type FenceConfig struct {
	Terms Terms
	// Violated is told the name of an invariant that does not hold.
	Violated func(invariant string)
}

type use struct {
	attempt uint32
	until   time.Time
}

// NewFence returns a fence that has seen nothing.
func NewFence(config FenceConfig) *Fence {
	return &Fence{
		terms: config.Terms.withDefaults(), violated: orIgnore(config.Violated),
		epochs: make(map[Home]uint64), used: make(map[Key]use),
	}
}

// Learn tells the fence of a shard's epoch, as the shard table has it.
func (f *Fence) Learn(home Home, epoch uint64) {
	f.epochs[home] = max(f.epochs[home], epoch)
}

// Admit decides about a dispatch just before it goes to the backend server.
func (f *Fence) Admit(p Permission, now time.Time) Admission {
	f.prune(now)
	if used, ok := f.used[p.Key]; ok && used.attempt >= p.Attempt {
		return Repeated
	}
	if p.Epoch < f.epochs[p.Home] || now.After(p.Expires.Add(f.terms.ClockSkew)) {
		return Stale
	}
	if !f.recent.advance(p.Key, p.Attempt) {
		f.violated(invariantAdmittedOnce)
	}
	f.Learn(p.Home, p.Epoch)
	f.used[p.Key] = use{attempt: p.Attempt, until: p.Expires.Add(2*f.terms.ClockSkew + f.terms.RunTimeout)}
	return Admitted
}

func (f *Fence) prune(now time.Time) {
	if now.Sub(f.pruned) < pruneInterval {
		return
	}
	f.pruned = now
	for key, used := range f.used {
		if now.After(used.until) {
			delete(f.used, key)
		}
	}
}
