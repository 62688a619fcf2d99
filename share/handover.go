package share

import (
	"maps"
	"slices"
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
)

// Export returns the bank's tokens for the shard's next owner and empties the
// bank, so that nothing is lent twice. What was borrowed from other zones is
// not part of it and lapses.
func (b *Bank) Export(now time.Duration) *peerpb.ShareState {
	state := &peerpb.ShareState{}
	for _, name := range slices.Sorted(maps.Keys(b.accounts)) {
		a := b.accounts[name]
		a.advance(now)
		state.Accounts = append(state.Accounts, a.export(name, now))
	}
	clear(b.accounts)
	return state
}

func (a *account) export(workspace string, now time.Duration) *peerpb.AccountState {
	state := &peerpb.AccountState{
		Workspace:  workspace,
		Free:       a.free,
		WaitMicros: microsUp(a.at - now),
		Share:      a.limits.shareAt(now),
	}
	for id, l := range a.loans {
		state.Loans = append(state.Loans, &peerpb.LoanState{
			Loan:        loanIDToProto(id),
			Amount:      l.amount,
			Spent:       l.spent,
			Own:         l.own,
			LapseMicros: microsUp(l.lapse - now),
		})
	}
	slices.SortFunc(state.Loans, compareLoans)
	return state
}

func compareLoans(a, b *peerpb.LoanState) int {
	return loanIDFromProto(a.Loan).compare(loanIDFromProto(b.Loan))
}

// handedOver returns the predecessor's account, once.
func (b *Bank) handedOver(workspace string, before *bundle.Index) *peerpb.AccountState {
	if before != nil || b.config.State == nil {
		return nil
	}
	for _, state := range b.config.State.Accounts {
		if state.Workspace == workspace {
			return state
		}
	}
	return nil
}

// restoreAccount goes on with a predecessor's account. Times left are
// stretched, since they were measured by another clock.
func (b *Bank) restoreAccount(p plan, state *peerpb.AccountState, now time.Duration) *account {
	terms := b.config.Terms
	a := newAccount(terms, now+terms.stretch(fromMicros(state.WaitMicros)), b.config.Violated)
	a.limits = limits{plan: p, former: state.Share, growAt: now + terms.GrowthDelay}
	for _, l := range state.Loans {
		a.restoreLoan(l, now)
	}
	a.free = min(state.Free, a.room(now))
	a.noteHeld()
	return a
}

func (a *account) restoreLoan(state *peerpb.LoanState, now time.Duration) {
	l := &loan{
		id:     loanIDFromProto(state.Loan),
		amount: state.Amount,
		spent:  state.Spent,
		own:    state.Own,
		lapse:  now + a.terms.stretch(fromMicros(state.LapseMicros)),
	}
	a.loans[l.id] = l
	a.lent += l.ownUnspent()
	a.nextLapse = min(a.nextLapse, l.lapse)
}

// microsUp rounds up to whole microseconds, and to zero what is past.
func microsUp(d time.Duration) int64 {
	return max(0, (d + time.Microsecond - 1).Microseconds())
}

func fromMicros(micros int64) time.Duration {
	return time.Duration(micros) * time.Microsecond
}
