package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/peer/peerpb"
	"auburngap/request"
)

// TestRefusalRoundTrip: a refusal is decoded as it was encoded, ByBackend included.
func TestRefusalRoundTrip(t *testing.T) {
	for _, byBackend := range []bool{false, true} {
		refusal := request.Refuse(request.CauseOverload, request.NotRun, 20*time.Millisecond)
		refusal.ByBackend = byBackend
		refusal.Report = request.Report{UnspentRetries: 2, DownstreamCalls: 3}
		assert.DeepEqual(t, refusalFromMessage(refusalToMessage(refusal)), refusal)
	}
}

// TestOccupancyRoundTrip: counts are decoded as they were encoded. Calls that an
// older node sends without their priorities count as the most important.
func TestOccupancyRoundTrip(t *testing.T) {
	loads := []request.ServiceLoad{{Service: "orders", InFlight: request.Occupancy{1, 2, 2, 7, 7, 8, 8, 9}, Limit: 9}}
	assert.DeepEqual(t, loadsFromMessage(loadsToMessage(loads)), loads)
	older := &peerpb.Signal{Services: []*peerpb.ServiceLoad{{Service: "orders", InFlight: 7, Limit: 9}}}
	assert.Equal(t, loadsFromMessage(older)[0].InFlight, request.Occupancy{7, 7, 7, 7, 7, 7, 7, 7})
}
