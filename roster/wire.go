package roster

import (
	"time"

	"auburngap/kv"
	"auburngap/peer/peerpb"
)

func replyFromDelta(delta Delta, age time.Duration) *peerpb.RosterReply {
	return &peerpb.RosterReply{
		Revision:  uint64(delta.Revision),
		Whole:     delta.Whole,
		AgeMicros: age.Microseconds(),
		Entries:   entriesToMessage(delta.Entries),
	}
}

func deltaFromReply(reply *peerpb.RosterReply) Delta {
	return Delta{
		Whole:    reply.GetWhole(),
		Revision: kv.Revision(reply.GetRevision()),
		Entries:  entriesFromMessage(reply.GetEntries()),
	}
}

func entriesToMessage(entries []kv.Entry) []*peerpb.RosterEntry {
	messages := make([]*peerpb.RosterEntry, len(entries))
	for i, entry := range entries {
		messages[i] = &peerpb.RosterEntry{
			Key:      entry.Key,
			Value:    entry.Value,
			Revision: uint64(entry.Revision),
			Removed:  entry.Deleted,
		}
	}
	return messages
}

func entriesFromMessage(messages []*peerpb.RosterEntry) []kv.Entry {
	entries := make([]kv.Entry, len(messages))
	for i, m := range messages {
		entries[i] = kv.Entry{
			Key:      m.GetKey(),
			Value:    m.GetValue(),
			Revision: kv.Revision(m.GetRevision()),
			Deleted:  m.GetRemoved(),
		}
	}
	return entries
}
