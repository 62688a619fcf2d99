package commitment

import (
	"encoding/binary"
	"testing"
)

// BenchmarkChecks measures the cost of the invariant checks for one permission.
func BenchmarkChecks(b *testing.B) {
	ledger := NewLedger(LedgerConfig{OnViolation: func(invariant string) { b.Fatal(invariant) }}, testLayout(1, 1))
	key, n := Key{}, uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		n++
		binary.BigEndian.PutUint64(key[8:], n)
		known := record{}
		ledger.checkPermit(&known, key)
		ledger.setPhase(&known, phaseRunning)
	}
}
