package peer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/peer/peerpb"
	"auburngap/request"
)

// TestRefusalTravels: a refusal comes back as it was sent, with who refused.
func TestRefusalTravels(t *testing.T) {
	for _, byBackend := range []bool{false, true} {
		refusal := request.Refuse(request.CauseOverload, request.NotRun, 20*time.Millisecond)
		refusal.ByBackend = byBackend
		refusal.Report = request.Report{UnspentRetries: 2, DownstreamCalls: 3}
		assert.DeepEqual(t, refusalFromMessage(refusalToMessage(refusal)), refusal)
	}
}

// TestOccupancyTravels: counts come back as sent, and calls that an older node
// does not tell apart count as the most important.
func TestOccupancyTravels(t *testing.T) {
	loads := []request.ServiceLoad{{Service: "orders", InFlight: request.Occupancy{1, 2, 2, 7, 7, 8, 8, 9}, Limit: 9}}
	assert.DeepEqual(t, loadsFromMessage(loadsToMessage(loads)), loads)
	older := &peerpb.Signal{Services: []*peerpb.ServiceLoad{{Service: "orders", InFlight: 7, Limit: 9}}}
	assert.Equal(t, loadsFromMessage(older)[0].InFlight, request.Occupancy{7, 7, 7, 7, 7, 7, 7, 7})
}
