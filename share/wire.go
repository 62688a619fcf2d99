package share

import (
	"cmp"

	"auburngap/peer/peerpb"
)

func (id LoanID) compare(other LoanID) int {
	return cmp.Or(cmp.Compare(id.Epoch, other.Epoch), cmp.Compare(id.Sequence, other.Sequence))
}

func loanIDToProto(id LoanID) *peerpb.LoanID {
	return &peerpb.LoanID{Epoch: id.Epoch, Sequence: id.Sequence}
}

func loanIDFromProto(id *peerpb.LoanID) LoanID {
	return LoanID{Epoch: id.GetEpoch(), Sequence: id.GetSequence()}
}

func reportsToProto(reports []Report) []*peerpb.LoanReport {
	messages := make([]*peerpb.LoanReport, 0, len(reports))
	for _, r := range reports {
		messages = append(messages, &peerpb.LoanReport{Loan: loanIDToProto(r.Loan), Spent: r.Spent, Closed: r.Closed})
	}
	return messages
}

func drawToProto(d Draw, shard int) *peerpb.Draw {
	return &peerpb.Draw{
		Id:               d.ID,
		AvailabilityZone: d.LenderZone,
		Shard:            uint32(shard),
		Workspace:        d.Workspace,
		Need:             d.Need,
		Want:             d.Want,
		BorrowerZone:     d.BorrowerZone,
		Whole:            d.Whole,
		Collect:          d.Collect,
		Reports:          reportsToProto(d.Reports),
	}
}

// drawFromProto replaces amounts that no correct borrower sends.
func drawFromProto(m *peerpb.Draw) Draw {
	d := Draw{
		ID:           m.GetId(),
		LenderZone:   m.GetAvailabilityZone(),
		BorrowerZone: m.GetBorrowerZone(),
		Workspace:    m.GetWorkspace(),
		Need:         clampAmount(m.GetNeed()),
		Want:         clampAmount(m.GetWant()),
		Whole:        m.GetWhole(),
		Collect:      m.GetCollect(),
	}
	for _, r := range m.GetReports() {
		d.Reports = append(d.Reports, Report{
			Loan: loanIDFromProto(r.GetLoan()), Spent: clampAmount(r.GetSpent()), Closed: r.GetClosed(),
		})
	}
	return d
}

// maxAmount limits the tokens in one message.
const maxAmount = 1e9

// clampAmount maps NaN and negative numbers to zero and limits v to maxAmount.
func clampAmount(v float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(v, maxAmount)
}

func grantToProto(g Grant) *peerpb.DrawAnswer {
	return &peerpb.DrawAnswer{
		Id:               g.ID,
		Loan:             loanIDToProto(g.Loan),
		Tokens:           g.Tokens,
		TimeToLiveMicros: g.TTL.Microseconds(),
		RetryAfterMicros: microsUp(g.RetryAfter),
		Free:             g.Free,
		Starting:         g.Starting,
	}
}

func grantFromProto(m *peerpb.DrawAnswer) Grant {
	return Grant{
		ID:         m.GetId(),
		Loan:       loanIDFromProto(m.GetLoan()),
		Tokens:     clampAmount(m.GetTokens()),
		TTL:        fromMicros(m.GetTimeToLiveMicros()),
		RetryAfter: fromMicros(m.GetRetryAfterMicros()),
		Free:       clampAmount(m.GetFree()),
		Starting:   m.GetStarting(),
	}
}
