package share

import "time"

// The defaults of Terms.
const (
	defaultLoanTTL     = time.Second
	defaultClockBound  = 500e-6
	defaultGrowthDelay = 11 * time.Second
)

// Terms are the conditions of all loans of a site. Every node must use the
// same.
type Terms struct {
	// LoanTTL is how long a borrower may spend a loan, by its own clock.
	LoanTTL time.Duration
	// ClockBound is how far a VM's clock may run fast or slow, as a fraction.
	ClockBound float64
	// GrowthDelay is how long a bank waits before it uses a grown share, so
	// that the shrunken ones are in force elsewhere.
	GrowthDelay time.Duration
}

// withDefaults fills in what is zero.
func (t Terms) withDefaults() Terms {
	if t.LoanTTL == 0 {
		t.LoanTTL = defaultLoanTTL
	}
	if t.ClockBound == 0 {
		t.ClockBound = defaultClockBound
	}
	if t.GrowthDelay == 0 {
		t.GrowthDelay = defaultGrowthDelay
	}
	return t
}

// stretch returns how long to wait on one clock until a time measured on
// another has surely passed.
func (t Terms) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.ClockBound)/(1-t.ClockBound)) + 1
}

// shrink returns a time that, measured on another clock, surely passes within d.
func (t Terms) shrink(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - t.ClockBound) / (1 + t.ClockBound))
}
