package commitment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

// In an outage a key runs on memory alone. A write that states what became of
// its first attempt takes effect, but its answer is lost, and the key's second
// attempt runs on memory again: what the journal says of the key is out of date.
func TestAdoptedJournalIsNotReliedOnBeyondItsCoverage(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	layout := testLayout(1, 1)
	home := Home{Zone: zoneName(0)}
	now := start.Add(time.Minute)
	key := keyMintedAt(now)
	journal := NewJournal(JournalTerms{}, Terms{}, start)
	journal.Loaded(Coverage{From: start, Until: start.Add(10 * time.Second)})
	journal.Failed(start.Add(5 * time.Second))
	assert.Equal(t, journal.Route(key.Minted()), RouteMemory)

	first := NewLedger(LedgerConfig{Home: home, Epoch: 1, GainedAt: start}, layout)
	request1 := Request{Key: key, ID: request.ID{1}, Workspace: "school", Fingerprint: "f"}
	ruling := first.Begin(request1, now)
	assert.Equal(t, ruling.Verdict, Run)
	first.Finish(ruling.Permission, request.NotRun, nil, now)
	released, coverage := first.JournalState(journal.Next(first.CompleteFrom(), time.Time{}, now), 1<<20)
	assert.Assert(t, coverage.Until.Before(key.Minted()))
	request2 := request1
	request2.ID = request.ID{2}
	assert.Equal(t, journal.Route(key.Minted()), RouteMemory)
	assert.Equal(t, first.Begin(request2, now).Verdict, Run)

	second := NewLedger(LedgerConfig{Home: home, Epoch: 2, GainedAt: now.Add(time.Second)}, layout)
	second.Adopt(released)
	assert.Equal(t, second.Begin(request1, now.Add(time.Second)).Verdict, Unknown)
}
