package share

import "time"

// The default values of Terms.
const (
	defaultLoanTTL     = time.Second
	defaultClockBound  = 500e-6
	defaultGrowthDelay = 11 * time.Second
)

// Terms are the conditions of all loans of a site. All nodes must use the same ones.
type Terms struct {
	// LoanTTL is how long a borrower may spend a loan, by its own clock.
	LoanTTL time.Duration
	// ClockBound is how far a VM's clock may run fast or slow, as a fraction.
	ClockBound float64
	// GrowthDelay is how long a lender waits before it uses a larger share, so that
	// the smaller shares are in use elsewhere by then.
	GrowthDelay time.Duration
}

// withDefaults replaces zero values by the defaults.
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

// stretch returns how long to wait on one clock until the time d, measured on
// another clock, has certainly passed.
func (t Terms) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+t.ClockBound)/(1-t.ClockBound)) + 1
}

// shrink returns a time that, measured on another clock, certainly passes within d.
func (t Terms) shrink(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - t.ClockBound) / (1 + t.ClockBound))
}
