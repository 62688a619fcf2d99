package commitment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

// During an outage a key runs with a record in memory alone. A write that contains
// the outcome of its first attempt takes effect, but the answer to the write is
// lost, and the second attempt runs with a record in memory again: what the
// journal says about the key is then out of date.
func TestRestoredJournalIsNotTrustedBeyondItsCoverage(t *testing.T) {
	start := time.UnixMilli(1_800_000_000_000)
	layout := testLayout(1, 1)
	shardID := ShardID{Zone: zoneName(0)}
	now := start.Add(time.Minute)
	key := keyCreatedAt(now)
	journal := NewJournal(JournalConfig{}, Limits{}, start)
	journal.Loaded(Coverage{From: start, Until: start.Add(10 * time.Second)})
	journal.Failed(start.Add(5 * time.Second))
	assert.Equal(t, journal.RecordMode(key.CreatedAt()), RecordInMemory)

	first := NewLedger(LedgerConfig{ShardID: shardID, Epoch: 1, GainedAt: start}, layout)
	request1 := Request{Key: key, ID: request.ID{1}, Workspace: "school", Fingerprint: "f"}
	decision := first.Begin(request1, now)
	assert.Equal(t, decision.Verdict, Run)
	first.Finish(decision.Permission, request.NotRun, nil, now)
	released, coverage := first.JournalState(journal.Next(first.CompleteFrom(), time.Time{}, now), 1<<20)
	assert.Assert(t, coverage.Until.Before(key.CreatedAt()))
	request2 := request1
	request2.ID = request.ID{2}
	assert.Equal(t, journal.RecordMode(key.CreatedAt()), RecordInMemory)
	assert.Equal(t, first.Begin(request2, now).Verdict, Run)

	second := NewLedger(LedgerConfig{ShardID: shardID, Epoch: 2, GainedAt: now.Add(time.Second)}, layout)
	second.RestoreJournal(released)
	assert.Equal(t, second.Begin(request1, now.Add(time.Second)).Verdict, Unknown)
}
