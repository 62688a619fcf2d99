package node

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"auburngap/peer"
	"auburngap/peer/peerpb"
)

const (
	// borrowTimeout bounds the query to one owner.
	borrowTimeout = 40 * time.Millisecond
	// minBorrowPause is the first pause after the owners had too few tokens for
	// a workspace. The pause doubles up to maxBorrowPause.
	minBorrowPause = 50 * time.Millisecond
	maxBorrowPause = 400 * time.Millisecond
)

// borrowPause suspends borrowing for a workspace whose owners had too few tokens.
type borrowPause struct {
	until  time.Time
	length time.Duration
	// retryAfter is after how long the owner asked first expected a token.
	retryAfter time.Duration
	// decidedBy is which nodes had too few tokens.
	decidedBy string
}

// borrowing is one round of queries to the owners for tokens of a workspace.
type borrowing struct {
	// done is closed when the round ends; tokens may be read after that.
	done   chan struct{}
	tokens float64
}

// awaitBorrow waits for tokens from the owners. It returns false if there were none.
func (p *portions) awaitBorrow(ctx context.Context, workspace string) bool {
	b := p.startBorrow(workspace)
	if b == nil {
		return false
	}
	select {
	case <-b.done:
		return b.tokens > 0
	case <-ctx.Done():
		return false
	}
}

// startBorrow starts a round of queries to the owners, unless one is running, none is
// needed, or borrowing is paused. It returns the round to wait for, or nil.
func (p *portions) startBorrow(workspace string) *borrowing {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.borrowings[workspace]; ok {
		return b
	}
	now := time.Now()
	wanted := p.table.Wanted(now, workspace)
	owners := p.owners[workspace]
	if wanted == 0 || len(owners) == 0 || now.Before(p.pauses[workspace].until) {
		return nil
	}
	b := &borrowing{done: make(chan struct{})}
	p.borrowings[workspace] = b
	go p.borrow(workspace, b, wanted, owners)
	return b
}

// borrow asks the first owner, which is in this zone if there is one, then the collector,
// and the other owners if that does not help.
func (p *portions) borrow(workspace string, b *borrowing, wanted float64, owners []netip.AddrPort) {
	tokens, retryAfter := p.borrowFrom(owners[0], workspace, wanted)
	p.receive(workspace, b, tokens)
	wanted -= tokens
	decidedBy := decidedByCollector
	if wanted > 0 && !p.receiveCollected(workspace, b, &wanted) {
		decidedBy = decidedByOwners
		wanted = p.borrowFromAll(workspace, b, wanted, shuffled(owners[1:]))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if wanted > 0 {
		length := min(max(2*p.pauses[workspace].length, minBorrowPause), maxBorrowPause)
		p.pauses[workspace] = borrowPause{until: time.Now().Add(length), length: length, retryAfter: retryAfter, decidedBy: decidedBy}
	} else {
		delete(p.pauses, workspace)
	}
	delete(p.borrowings, workspace)
	close(b.done)
}

// borrowFromAll asks owners one after the other until it has enough tokens. It returns
// how many are still wanted.
func (p *portions) borrowFromAll(workspace string, b *borrowing, wanted float64, owners []netip.AddrPort) float64 {
	for _, owner := range owners {
		if wanted <= 0 {
			break
		}
		tokens, _ := p.borrowFrom(owner, workspace, wanted)
		wanted -= tokens
		p.receive(workspace, b, tokens)
	}
	return wanted
}

// shuffled returns the owners in random order.
func shuffled(owners []netip.AddrPort) []netip.AddrPort {
	order := slices.Clone(owners)
	rand.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

func (p *portions) receive(workspace string, b *borrowing, tokens float64) {
	if tokens == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	b.tokens += tokens
	p.table.AddBorrowed(time.Now(), workspace, tokens)
}

// borrowFrom returns the tokens that an owner lends or, if it has none, after how long
// it expects some.
func (p *portions) borrowFrom(address netip.AddrPort, workspace string, wanted float64) (float64, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	answer := p.queryTokens(ctx, address, &peerpb.BorrowQuery{Workspace: workspace, Tokens: wanted})
	return answer.tokens, answer.retryAfter
}

// borrowAnswer is the answer of an owner.
type borrowAnswer struct {
	// tokens are at most those asked for.
	tokens float64
	// retryAfter is after how long the owner expects tokens if it has none.
	retryAfter time.Duration
	// ok is false if there was no answer in time, or the owner can't decide.
	ok bool
}

func (p *portions) queryTokens(ctx context.Context, address netip.AddrPort, query *peerpb.BorrowQuery) borrowAnswer {
	var reply peerpb.BorrowReply
	if err := p.query(ctx, address, peer.KindBorrow, query, &reply); err != nil {
		return borrowAnswer{}
	}
	most := math.Ceil(query.GetTokens())
	if query.GetPart() {
		most = query.GetTokens()
	}
	return borrowAnswer{
		tokens:     min(max(reply.GetTokens(), 0), most),
		retryAfter: time.Duration(reply.GetRetryAfterMicros()) * time.Microsecond,
		ok:         !reply.GetUnavailable(),
	}
}
