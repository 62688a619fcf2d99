package commitment

import (
	"context"
	"fmt"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"auburngap/kv"
	"auburngap/peer/peerpb"
)

// Store stores the journal of one shard.
type Store interface {
	// Load returns the journal, or an empty one if there is none.
	Load(ctx context.Context) (*peerpb.JournalState, kv.Revision, error)
	// Save replaces the journal if its revision is the given one. After an error
	// other than kv.ErrConflict it may have been replaced nevertheless.
	Save(ctx context.Context, state *peerpb.JournalState, revision kv.Revision) (kv.Revision, error)
}

// PlatformStore is a Store in the platform's key-value service.
type PlatformStore struct {
	client kv.Client
	key    string
}

// NewPlatformStore returns the store of a shard's journal.
func NewPlatformStore(client kv.Client, shardID ShardID) *PlatformStore {
	return &PlatformStore{client: client, key: fmt.Sprintf("zones/%s/journal/%d", shardID.Zone, shardID.Shard)}
}

// Load implements Store.
func (s *PlatformStore) Load(ctx context.Context) (*peerpb.JournalState, kv.Revision, error) {
	state := &peerpb.JournalState{}
	entry, err := s.client.Get(ctx, s.key)
	if errorx.IsOfType(err, kv.ErrNotFound) {
		return state, kv.Absent, nil
	}
	if err != nil {
		return nil, 0, err
	}
	if err := proto.Unmarshal(entry.Value, state); err != nil {
		return nil, 0, kv.ErrInvalid.Wrap(err, "reading the journal %s", s.key)
	}
	return state, entry.Revision, nil
}

// Save implements Store.
func (s *PlatformStore) Save(ctx context.Context, state *peerpb.JournalState, revision kv.Revision) (kv.Revision, error) {
	data, err := proto.Marshal(state)
	if err != nil {
		return 0, kv.ErrInvalid.Wrap(err, "writing the journal %s", s.key)
	}
	entry, err := s.client.Put(ctx, kv.PutRequest{Key: s.key, Value: data, IfRevision: revision})
	if err != nil {
		return 0, err
	}
	return entry.Revision, nil
}
