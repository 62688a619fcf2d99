package node

import (
	"context"
	"math"
	"net/netip"
	"time"

	"auburngap/peer/peerpb"
)

const (
	// collectTime bounds one round of queries of the collector to the other owners.
	collectTime = 40 * time.Millisecond
	// partTimeout bounds one of them, so that a silent owner leaves time for the others.
	partTimeout = collectTime / 2
	// collectTimeout bounds the query to the collector, which may ask the other owners.
	collectTimeout = collectTime + borrowTimeout
	// maxCollected is the number of tokens that the collector lends at a time.
	maxCollected = 1
)

// collection is what this node knows as the collector of a workspace.
type collection struct {
	// done is closed when the running round ends; nil if none runs.
	done chan struct{}
	// retryAt is when the owners together may have a whole token again.
	retryAt time.Time
}

// collectResult is the result of a round of queries to the other owners.
type collectResult int

const (
	// collectNotHere means that this node's portion can't hold a whole token.
	collectNotHere collectResult = iota
	// collectDone means that there was a whole token.
	collectDone
	// collectExhausted means that the owners together have less than a whole token.
	collectExhausted
)

// receiveCollected adds the tokens that the collector lends, for which it asks the other
// owners if it has none, and subtracts them from wanted. It returns false if the other
// owners should be asked instead: the collector does not answer, or more tokens are
// wanted than it collects at a time.
func (p *portions) receiveCollected(workspace string, b *borrowing, wanted *float64) bool {
	p.mu.Lock()
	collector, ok := p.collectors[workspace]
	p.mu.Unlock()
	if !ok || *wanted > maxCollected {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), collectTimeout)
	defer cancel()
	if !collector.IsValid() {
		if p.collect(ctx, workspace) == collectNotHere {
			return false
		}
		tokens := math.Floor(p.tokens(workspace))
		b.tokens += tokens
		*wanted -= tokens
		return true
	}
	answer := p.queryTokens(ctx, collector, &peerpb.BorrowQuery{Workspace: workspace, Tokens: *wanted, Collect: true})
	p.receive(workspace, b, answer.tokens)
	*wanted -= answer.tokens
	return answer.ok
}

// collect moves parts of a token from the other owners to this node until it has a whole
// one, if they hold as much. Concurrent calls share one round.
func (p *portions) collect(ctx context.Context, workspace string) collectResult {
	p.mu.Lock()
	now := time.Now()
	if !p.table.Collects(now, workspace) {
		p.mu.Unlock()
		return collectNotHere
	}
	c, ok := p.collections[workspace]
	if !ok {
		c = &collection{}
		p.collections[workspace] = c
	}
	done, isRunning := c.done, c.done != nil
	starts := !isRunning && !now.Before(c.retryAt) && p.table.Missing(now, workspace) > 0
	if starts {
		c.done = make(chan struct{})
	}
	owners := p.owners[workspace]
	p.mu.Unlock()
	switch {
	case starts:
		p.collectFrom(ctx, workspace, c, shuffled(owners))
	case isRunning:
		select {
		case <-done:
		case <-ctx.Done():
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(c.retryAt) {
		return collectExhausted
	}
	return collectDone
}

// lendCollected lends a token, which it collects first if it has none, and returns the
// number lent. It returns false if this node is not the collector.
func (p *portions) lendCollected(parent context.Context, query *peerpb.BorrowQuery) (float64, bool) {
	ctx, cancel := context.WithTimeout(parent, collectTime)
	defer cancel()
	for {
		result := p.collect(ctx, query.GetWorkspace())
		if result == collectNotHere {
			return 0, false
		}
		// Another call may have got the token that was collected.
		tokens := p.lend(query)
		if tokens >= 1 || result == collectExhausted || ctx.Err() != nil {
			return tokens, true
		}
	}
}

// tokens returns the tokens that this node holds for a workspace.
func (p *portions) tokens(workspace string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Tokens(time.Now(), workspace)
}

// collectFrom asks owners one after the other until this node has a whole token.
func (p *portions) collectFrom(parent context.Context, workspace string, c *collection, owners []netip.AddrPort) {
	ctx, cancel := context.WithTimeout(parent, collectTime)
	defer cancel()
	missing := p.missing(workspace)
	for _, owner := range owners {
		if missing == 0 || ctx.Err() != nil {
			break
		}
		missing = p.addCollected(workspace, p.borrowPart(ctx, owner, workspace, missing))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if missing > 0 {
		c.retryAt = time.Now().Add(p.table.AccrueTime(workspace, missing))
	}
	close(c.done)
	c.done = nil
}

// borrowPart returns the part of a token that an owner gives to the collector.
func (p *portions) borrowPart(parent context.Context, owner netip.AddrPort, workspace string, missing float64) float64 {
	ctx, cancel := context.WithTimeout(parent, partTimeout)
	defer cancel()
	return p.queryTokens(ctx, owner, &peerpb.BorrowQuery{Workspace: workspace, Tokens: missing, Part: true}).tokens
}

func (p *portions) missing(workspace string) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.table.Missing(time.Now(), workspace)
}

// addCollected adds a part of a token and returns what is still missing.
func (p *portions) addCollected(workspace string, part float64) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	p.table.AddCollected(now, workspace, part)
	return p.table.Missing(now, workspace)
}
