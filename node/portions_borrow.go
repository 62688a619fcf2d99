package node

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"auburngap/peer"
	"auburngap/peer/peerpb"
)

const (
	// borrowTimeout bounds the question to one home.
	borrowTimeout = 40 * time.Millisecond
	// borrowRest is how long a workspace for which no home had tokens does not ask
	// again at first; the time doubles up to longestBorrowRest.
	borrowRest        = 50 * time.Millisecond
	longestBorrowRest = 400 * time.Millisecond
)

// borrowPause keeps a workspace from asking in vain.
type borrowPause struct {
	until  time.Time
	length time.Duration
	// retryAfter is when the home of the zone expected a token.
	retryAfter time.Duration
}

// borrowing is a round of asking homes for tokens of a workspace.
type borrowing struct {
	// done is closed at its end; tokens may be read then.
	done   chan struct{}
	tokens float64
}

// awaitBorrow waits for tokens of homes; false where none have any.
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

// startBorrow begins to ask the homes, unless that is under way, needless, or
// has just been in vain; it returns the borrowing to wait for, nil for none.
func (p *portions) startBorrow(workspace string) *borrowing {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.borrowings[workspace]; ok {
		return b
	}
	now := time.Now()
	wanted := p.table.Wanted(now, workspace)
	homes := p.homes[workspace]
	if wanted == 0 || len(homes) == 0 || now.Before(p.resting[workspace].until) {
		return nil
	}
	b := &borrowing{done: make(chan struct{})}
	p.borrowings[workspace] = b
	go p.borrow(workspace, b, wanted, homes)
	return b
}

// borrow asks the homes one after the other until there is enough.
func (p *portions) borrow(workspace string, b *borrowing, wanted float64, homes []netip.AddrPort) {
	retryAfter := time.Duration(0)
	for i, home := range p.inTurn(homes) {
		if wanted <= 0 {
			break
		}
		tokens, wait := p.askHome(home, workspace, wanted)
		if i == 0 {
			retryAfter = wait
		}
		wanted -= tokens
		p.receive(workspace, b, tokens)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if wanted > 0 {
		length := min(max(2*p.resting[workspace].length, borrowRest), longestBorrowRest)
		p.resting[workspace] = borrowPause{until: time.Now().Add(length), length: length, retryAfter: retryAfter}
	} else {
		delete(p.resting, workspace)
	}
	delete(p.borrowings, workspace)
	close(b.done)
}

// inTurn returns the homes with those of other zones in a random order.
func (p *portions) inTurn(homes []netip.AddrPort) []netip.AddrPort {
	turn := append([]netip.AddrPort(nil), homes...)
	if len(turn) > 1 {
		far := turn[1:]
		rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	}
	return turn
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

// askHome returns the tokens that a home gives, and when it expects some where
// it has none. Tokens of an answer that comes too late are lost.
func (p *portions) askHome(address netip.AddrPort, workspace string, wanted float64) (float64, time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	query := &peerpb.BorrowQuery{Workspace: workspace, Tokens: wanted}
	var reply peerpb.BorrowReply
	if err := p.ask(ctx, address, peer.KindBorrow, query, &reply); err != nil {
		return 0, 0 // the next home is asked
	}
	return min(max(reply.GetTokens(), 0), math.Ceil(wanted)), time.Duration(reply.GetRetryAfterMicros()) * time.Microsecond
}
