package bundle

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"auburngap/kv"
)

// Keys in the platform's store.
const (
	// KeyHead is the key of the newest version's number.
	KeyHead        = "bundle/head"
	recordPrefix   = "bundle/version/"
	proposalPrefix = "bundle/proposal/"
)

// fullRecordInterval is the interval, in versions, of records that hold every section.
const fullRecordInterval = 64

// Defaults of StoreConfig.
const (
	DefaultMaxAttempts = 5
	DefaultRetryDelay  = 200 * time.Millisecond
)

// StoreConfig is the configuration of a Store.
type StoreConfig struct {
	Client kv.Client
	// Now returns the creation time of proposals; nil means time.Now.
	Now func() time.Time
	// NewID generates the IDs of proposals; nil means uuid.NewV7.
	NewID func() (uuid.UUID, error)
	// MaxAttempts is the maximum number of attempts of a call that gets no answer; zero
	// means DefaultMaxAttempts.
	MaxAttempts int
	// RetryDelay is the delay before the first retry, and doubles with each further one;
	// zero means DefaultRetryDelay.
	RetryDelay time.Duration
}

// Store reads and writes bundles and proposals in the platform's store. It is used by the
// operators' tools and by the nodes that follow the head.
type Store struct {
	config StoreConfig
}

// NewStore returns a store with the defaults filled in.
func NewStore(config StoreConfig) *Store {
	if config.Now == nil {
		config.Now = time.Now
	}
	if config.NewID == nil {
		config.NewID = uuid.NewV7
	}
	config.MaxAttempts = cmp.Or(config.MaxAttempts, DefaultMaxAttempts)
	config.RetryDelay = cmp.Or(config.RetryDelay, DefaultRetryDelay)
	return &Store{config: config}
}

// Head is the value of KeyHead.
type Head struct {
	Version  uint64    `json:"version"`
	Proposal uuid.UUID `json:"proposal"`
}

// RecordKey returns the key of a version's record in the platform's store.
func RecordKey(version uint64) string {
	return fmt.Sprintf("%s%020d", recordPrefix, version)
}

func proposalKey(id uuid.UUID) string {
	return proposalPrefix + id.String()
}

// Head returns the newest version's number and proposal, or ErrNoBundle.
func (s *Store) Head(ctx context.Context) (Head, error) {
	head, _, err := s.head(ctx)
	if err == nil && head.Version == 0 {
		return Head{}, ErrNoBundle.New("the platform holds no bundle yet")
	}
	return head, err
}

// head returns the head and its revision; a zero head if there is no version yet.
func (s *Store) head(ctx context.Context) (Head, kv.Revision, error) {
	entry, err := s.read(ctx, KeyHead)
	if errorx.IsOfType(err, kv.ErrNotFound) {
		return Head{}, kv.Absent, nil
	}
	if err != nil {
		return Head{}, 0, err
	}
	head, err := ParseHead(entry.Value)
	return head, entry.Revision, err
}

// ParseHead decodes the value of KeyHead, as a watch delivers it.
func ParseHead(value []byte) (Head, error) {
	return decodeJSON[Head](value)
}

// Record returns the record of one version, or kv.ErrNotFound.
func (s *Store) Record(ctx context.Context, version uint64) (Record, error) {
	entry, err := s.read(ctx, RecordKey(version))
	if err != nil {
		return Record{}, err
	}
	record, err := DecodeRecord(entry.Value)
	if err == nil && record.Header.Version != version {
		return Record{}, ErrCorrupt.New("%s holds version %d", entry.Key, record.Header.Version)
	}
	return record, err
}

// Load returns one version with all of its sections. It verifies the hashes but not the
// sign-offs, which only a Tracker verifies.
func (s *Store) Load(ctx context.Context, version uint64) (*Version, error) {
	if version == 0 {
		return nil, ErrNoBundle.New("there is no version 0")
	}
	var chain []Record
	for at := version; at > 0; at-- {
		record, err := s.Record(ctx, at)
		if err != nil {
			return nil, err
		}
		chain = append(chain, record)
		if record.Delta.IsFull() {
			break
		}
	}
	var sections Sections
	for i := len(chain) - 1; i >= 0; i-- {
		next, err := sections.Apply(chain[i].Delta)
		if err != nil {
			return nil, errorx.Decorate(err, "version %d", chain[i].Header.Version)
		}
		sections = next
	}
	return newVersion(chain[0], sections)
}

// newVersion returns the version of a record and its sections. It does not verify
// sign-offs.
func newVersion(record Record, sections Sections) (*Version, error) {
	if record.Delta.To != record.Header.Root {
		return nil, ErrCorrupt.New("the sections of version %d do not match the signed hash", record.Header.Version)
	}
	b, err := sections.Join(record.Header.Version)
	if err != nil {
		return nil, err
	}
	trust := trustFrom(b)
	trust.Version = record.Header.nextTrustVersion()
	return &Version{Record: record, Sections: sections, Bundle: b, Trust: trust}, nil
}

// newest returns the newest version, or an empty one if there is none yet.
func (s *Store) newest(ctx context.Context) (*Version, error) {
	head, _, err := s.head(ctx)
	if err != nil || head.Version == 0 {
		return &Version{}, err
	}
	return s.Load(ctx, head.Version)
}

// read gets a key. It retries if there is no answer.
func (s *Store) read(ctx context.Context, key string) (kv.Entry, error) {
	var entry kv.Entry
	var err error
	for attempt := range s.config.MaxAttempts {
		if entry, err = s.config.Client.Get(ctx, key); !errorx.IsOfType(err, kv.ErrUnavailable) {
			return entry, err
		}
		if err := s.waitToRetry(ctx, attempt); err != nil {
			return entry, err
		}
	}
	return entry, err
}

// write puts a key. After a lost answer or a conflict, which an earlier attempt of this
// call may have caused, it reads the key again: isOwn reports whether the value there is
// the one from this call. ErrConflict means that another process's write is stored there.
func (s *Store) write(ctx context.Context, put kv.PutRequest, isOwn func(value []byte) bool) error {
	var err error
	for attempt := range s.config.MaxAttempts {
		if _, err = s.config.Client.Put(ctx, put); err == nil {
			return nil
		}
		unanswered := errorx.IsOfType(err, kv.ErrUnavailable)
		if !unanswered && !errorx.IsOfType(err, kv.ErrConflict) {
			return err
		}
		if unanswered {
			if err := s.waitToRetry(ctx, attempt); err != nil {
				return err
			}
		}
		entry, readErr := s.read(ctx, put.Key)
		switch {
		case readErr == nil && isOwn(entry.Value):
			return nil
		case readErr == nil && entry.Revision != put.IfRevision:
			return ErrConflict.New("another operator changed %s first", put.Key)
		case errorx.IsOfType(readErr, kv.ErrUnavailable):
			return kv.ErrUnavailable.Wrap(readErr, "%s may or may not have been written; run the command again to find out", put.Key)
		}
	}
	return err
}

func (s *Store) waitToRetry(ctx context.Context, attempt int) error {
	timer := time.NewTimer(s.config.RetryDelay << attempt)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return kv.ErrUnavailable.Wrap(ctx.Err(), "cancelled while waiting to retry")
	case <-timer.C:
		return nil
	}
}

func mustMarshal(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // unreachable: values of this package can always be encoded
	}
	return encoded
}
