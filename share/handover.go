package share

import (
	"maps"
	"slices"
	"time"

	"auburngap/bundle"
	"auburngap/peer/peerpb"
)

// Export returns the lender's tokens for the shard's next owner and removes them
// here, so that nothing is lent twice. Tokens borrowed from other zones are not
// included and expire.
func (l *Lender) Export(now time.Duration) *peerpb.ShareState {
	state := &peerpb.ShareState{}
	for _, name := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[name]
		a.advance(now)
		state.Accounts = append(state.Accounts, a.export(name, now))
	}
	clear(l.accounts)
	return state
}

func (a *account) export(workspace string, now time.Duration) *peerpb.AccountState {
	state := &peerpb.AccountState{
		Workspace:  workspace,
		Free:       a.free,
		WaitMicros: microsUp(a.accruedUntil - now),
		Share:      a.limits.shareAt(now),
	}
	for id, l := range a.loans {
		state.Loans = append(state.Loans, &peerpb.LoanState{
			Loan:        loanIDToProto(id),
			Amount:      l.amount,
			Spent:       l.spent,
			Own:         l.own,
			LapseMicros: microsUp(l.lapsesAt - now),
		})
	}
	slices.SortFunc(state.Loans, compareLoans)
	return state
}

func compareLoans(a, b *peerpb.LoanState) int {
	return loanIDFromProto(a.Loan).compare(loanIDFromProto(b.Loan))
}

// handedOverAccount returns the predecessor's account for a workspace. It returns
// nil after the first bundle, so that the state is used only once.
func (l *Lender) handedOverAccount(workspace string, before *bundle.Index) *peerpb.AccountState {
	if before != nil || l.config.State == nil {
		return nil
	}
	for _, state := range l.config.State.Accounts {
		if state.Workspace == workspace {
			return state
		}
	}
	return nil
}

// restoreAccount continues a predecessor's account. Remaining times are
// stretched, since they were measured by another clock.
func (l *Lender) restoreAccount(next allocation, state *peerpb.AccountState, now time.Duration) *account {
	terms := l.config.Terms
	a := newAccount(terms, now+terms.stretch(fromMicros(state.WaitMicros)), l.config.OnViolation)
	a.limits = limits{allocation: next, formerShare: state.Share, growAt: now + terms.GrowthDelay}
	for _, loan := range state.Loans {
		a.restoreLoan(loan, now)
	}
	a.free = min(state.Free, a.spareCapacity(now))
	a.recordHeld()
	return a
}

func (a *account) restoreLoan(state *peerpb.LoanState, now time.Duration) {
	l := &loan{
		id:       loanIDFromProto(state.Loan),
		amount:   state.Amount,
		spent:    state.Spent,
		own:      state.Own,
		lapsesAt: now + a.terms.stretch(fromMicros(state.LapseMicros)),
	}
	a.loans[l.id] = l
	a.lent += l.ownUnspent()
	a.nextExpiry = min(a.nextExpiry, l.lapsesAt)
}

// microsUp rounds up to whole microseconds. Negative durations become zero.
func microsUp(d time.Duration) int64 {
	return max(0, (d + time.Microsecond - 1).Microseconds())
}

func fromMicros(micros int64) time.Duration {
	return time.Duration(micros) * time.Microsecond
}
