// Package portion limits each workspace to its rate and burst over all nodes by
// dividing them into portions. In each availability zone, or in fewer zones if the
// burst is small, one node owns the workspace: it has an equal portion, accrues
// its tokens independently, and lends whole tokens to the nodes that ask for them.
//
// # Usage
//
//	table := portion.New(portion.Config{SettleTime: 5 * time.Second})
//	table.SetLimit(now, "school", portion.Limit{Rate: 56, Burst: 56})
//	table.SetPortion(now, "school", 0.25)                // this node is one of four owner nodes
//	if !table.Take(now, "school") { ... }                // refuse, with RetryAfter
//	tokens := table.Lend(now, "school", 4)               // for another node
//	table.AddBorrowed(now, "school", tokens)
//
// A workspace with a small burst has many of its tokens in parts at several owner nodes,
// where no request can use them. One of these, the collector, moves parts into its own
// tokens when a node asks it and it has no whole one:
//
//	missing := collector.Missing(now, "school")
//	collector.AddCollected(now, "school", owner.LendPart(now, "school", missing))
//
// The portions in use never add up to more than the whole, as long as no node
// serves by a list of nodes that is older than SettleTime. A node uses a smaller
// portion immediately. It uses a larger one when the node that had it has released
// it, or after SettleTime. Then every other node either has the list with its smaller
// portion or no longer serves.
// Tokens are subtracted before they are sent, so a lost answer loses them. Lent
// tokens expire after borrowedTTL, so that at most burst + rate x (w + borrowedTTL)
// tokens are spent over a window w.
//
// A Table does no I/O and reads no clock: callers pass the time. It is not safe
// for concurrent use.
package portion

import "time"

const (
	// demandMemory is the time over which a node's demand is averaged.
	demandMemory = time.Second
	// prefetchTime is the time whose expected demand is borrowed in addition to the
	// tokens needed now. It is short because unspent tokens expire.
	prefetchTime = 100 * time.Millisecond
	// borrowedTTL is how long tokens of other nodes may be spent. It is limited
	// because their owner nodes accrue new tokens in their place.
	borrowedTTL = 400 * time.Millisecond
	// maxRetryAfter is the longest time after which a refused request is asked to retry.
	maxRetryAfter = 3 * time.Second
	// maxBatch limits the tokens that are borrowed at a time.
	maxBatch = 64
)

// Config configures a Table.
type Config struct {
	// SettleTime is the time after which a larger portion is used. After this time, no
	// node serves by an older list.
	SettleTime time.Duration
	// InitialFill is the fraction of its burst, from 0 to 1, that a node starts with.
	InitialFill float64
	// KeepsPortions is true if no other node has taken this node's portions, because the
	// site is starting or the VM has never left the list. The portions are then used
	// immediately.
	KeepsPortions bool
}

// Limit is a workspace's rate and burst over all nodes.
type Limit struct {
	// Rate is in requests per second; zero means no limit.
	Rate float64
	// Burst is in requests.
	Burst float64
}

// Table holds the portions of one node.
type Table struct {
	config  Config
	buckets map[string]*bucket
}

// bucket holds one workspace's tokens and portions at this node.
type bucket struct {
	limit Limit
	// portions are the portions that this node was assigned, oldest first.
	portions []portion
	// releasedUntil is how long a release that arrived before the list is valid.
	releasedUntil time.Time
	// initialized is true once the initial tokens have been added.
	initialized bool
	// tokens are the node's own tokens. The borrowed ones expire at borrowedUntil.
	tokens        float64
	borrowed      float64
	borrowedUntil time.Time
	accruedAt     time.Time
	// demand is the recent rate of requests per second.
	demand   float64
	demandAt time.Time
	// deferred is the number of refused requests that were asked to retry and for
	// which no token has accrued yet.
	deferred float64
}

// portion is a fraction of the whole, from 0 to 1, that is assigned to this node
// from a time on.
type portion struct {
	size  float64
	since time.Time
}

// New returns a table without workspaces.
func New(config Config) *Table {
	return &Table{config: config, buckets: make(map[string]*bucket)}
}

// SetLimit sets the rate and burst of a workspace and reports whether it replaced
// other ones.
func (t *Table) SetLimit(now time.Time, workspace string, limit Limit) bool {
	b, ok := t.buckets[workspace]
	if !ok {
		t.buckets[workspace] = &bucket{limit: limit, accruedAt: now}
		return false
	}
	if b.limit == limit {
		return false
	}
	t.accrue(now, b)
	b.limit = limit
	b.tokens = min(b.tokens, limit.Burst*b.portion(now, t.config.SettleTime))
	return true
}

// Burst returns a workspace's burst; zero for one without a limit.
func (t *Table) Burst(workspace string) float64 {
	if b, ok := t.buckets[workspace]; ok {
		return b.limit.Burst
	}
	return 0
}

// SetKeepsPortions sets Config.KeepsPortions. It must be called before the first SetPortion.
func (t *Table) SetKeepsPortions(keep bool) { t.config.KeepsPortions = keep }

// SetSettleTime raises the time after which a larger portion is used; a lower value is
// ignored. Portions that are waiting use the longer time too.
func (t *Table) SetSettleTime(now time.Time, settleTime time.Duration) {
	for _, b := range t.buckets {
		t.accrue(now, b)
	}
	t.config.SettleTime = max(t.config.SettleTime, settleTime)
}

// SetPortion assigns a portion of a workspace's rate to this node.
func (t *Table) SetPortion(now time.Time, workspace string, size float64) {
	b, ok := t.buckets[workspace]
	if !ok {
		return
	}
	if last := len(b.portions) - 1; last >= 0 && b.portions[last].size == size {
		return
	}
	t.accrue(now, b)
	if len(b.portions) == 0 && !t.config.KeepsPortions {
		b.portions = append(b.portions, portion{since: now})
	}
	b.portions = append(b.portions, portion{size: size, since: now})
	if now.Before(b.releasedUntil) {
		b.settleNow()
	}
	b.tokens = min(b.tokens, b.limit.Burst*b.portion(now, t.config.SettleTime))
	if !b.initialized {
		b.initialized = true
		b.tokens = t.config.InitialFill * b.limit.Burst * b.portion(now, t.config.SettleTime)
	}
}

// Release records that the node that had this node's portion has released it. The
// portion is used immediately, or as soon as the list assigns it to this node.
func (t *Table) Release(now time.Time, workspace string) {
	b, ok := t.buckets[workspace]
	if !ok {
		return
	}
	t.accrue(now, b)
	b.releasedUntil = now.Add(t.config.SettleTime)
	if last := len(b.portions) - 1; last >= 0 && b.portions[last].size > 0 {
		b.settleNow()
	}
}

// settleNow uses the newest portion immediately.
func (b *bucket) settleNow() {
	b.portions = b.portions[len(b.portions)-1:]
	b.releasedUntil = time.Time{}
}

// portion returns the smallest portion that was assigned to this node within settleTime.
func (b *bucket) portion(now time.Time, settleTime time.Duration) float64 {
	for len(b.portions) > 1 && now.Sub(b.portions[1].since) >= settleTime {
		b.portions = b.portions[1:]
	}
	if len(b.portions) == 0 {
		return 0
	}
	smallest := 1.0
	for _, assigned := range b.portions {
		smallest = min(smallest, assigned.size)
	}
	return smallest
}

// Forget drops the workspaces for which keep returns false.
func (t *Table) Forget(keep func(workspace string) bool) {
	for workspace := range t.buckets {
		if !keep(workspace) {
			delete(t.buckets, workspace)
		}
	}
}

func (t *Table) accrue(now time.Time, b *bucket) {
	if now.After(b.borrowedUntil) {
		b.borrowed = 0
	}
	elapsed := now.Sub(b.accruedAt).Seconds()
	b.accruedAt = now
	if elapsed <= 0 {
		return
	}
	size := b.portion(now, t.config.SettleTime)
	grown := elapsed * b.limit.Rate * size
	b.fill(grown, size)
	b.deferred = max(0, b.deferred-grown)
}

// fill adds tokens up to a portion of the burst.
func (b *bucket) fill(tokens, size float64) {
	b.tokens = min(b.tokens+tokens, max(b.tokens, b.limit.Burst*size))
}

// limited returns the bucket of a workspace that has a limit, with the tokens
// accrued up to now.
func (t *Table) limited(now time.Time, workspace string) (*bucket, bool) {
	b, ok := t.buckets[workspace]
	if !ok || b.limit.Rate <= 0 {
		return nil, false
	}
	t.accrue(now, b)
	return b, true
}

// Take spends a token for a new request. It returns false if there is none here.
func (t *Table) Take(now time.Time, workspace string) bool {
	b, ok := t.limited(now, workspace)
	if !ok {
		return true
	}
	b.countRequest(now)
	return b.spend()
}

// Retake is like Take, for a request that is counted in the demand already.
func (t *Table) Retake(now time.Time, workspace string) bool {
	b, ok := t.limited(now, workspace)
	return !ok || b.spend()
}

func (b *bucket) spend() bool {
	if b.tokens+b.borrowed < 1 {
		return false
	}
	// Borrowed tokens are spent first, since they expire.
	lapsing := min(b.borrowed, 1)
	b.borrowed -= lapsing
	b.tokens -= 1 - lapsing
	return true
}

// Tokens returns the tokens that the node holds for a workspace.
func (t *Table) Tokens(now time.Time, workspace string) float64 {
	b, ok := t.limited(now, workspace)
	if !ok {
		return 0
	}
	return b.tokens + b.borrowed
}

// State is what a node knows of a workspace's tokens.
type State struct {
	Limit Limit
	// Tokens are the node's own and the borrowed ones.
	Tokens float64
	// Portion is the fraction of the whole that the node uses. Age is the time since it was
	// last assigned one.
	Portion float64
	Age     time.Duration
}

// State returns the state of a workspace; zero for one without a limit.
func (t *Table) State(now time.Time, workspace string) State {
	b, ok := t.limited(now, workspace)
	if !ok {
		return State{}
	}
	state := State{Limit: b.limit, Tokens: b.tokens + b.borrowed, Portion: b.portion(now, t.config.SettleTime)}
	if last := len(b.portions) - 1; last >= 0 {
		state.Age = now.Sub(b.portions[last].since)
	}
	return state
}
