// Package kv is a client of the platform's key-value service, which stores the
// operators' configuration, the shard tables and the leases.
//
// # Usage
//
//	client := kv.NewHTTPClient(kv.HTTPConfig{Address: address, Timeout: time.Second})
//	entry, err := client.Get(ctx, "bundle/head")
//	entry, err = client.Put(ctx, kv.PutRequest{Key: "bundle/head", Value: v, IfRevision: entry.Revision})
//	changes, revision, err := client.Watch(ctx, "bundle/", entry.Revision)
//
// Every method may fail with ErrUnavailable, after which a write may or may not
// have taken effect. Every call counts against the platform's rate limits, and so
// does a waiting watch.
package kv

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

// MaxValueBytes is the maximum size of a value.
const MaxValueBytes = 1 << 20

// The errors of the service.
var (
	errs = errorx.NewNamespace("kv")
	// ErrUnavailable means that there was no answer: a write may have taken effect.
	ErrUnavailable = errs.NewType("unavailable", errorx.Temporary())
	// ErrConflict means that the compare of a compare-and-swap failed.
	ErrConflict = errs.NewType("conflict")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errs.NewType("notFound", errorx.NotFound())
	// ErrCompacted means that the service no longer has the requested changes; the
	// entries must be listed again.
	ErrCompacted = errs.NewType("compacted")
	// ErrInvalid means that the request itself is invalid; a retry can't help.
	ErrInvalid = errs.NewType("invalid")
)

// LeaseID identifies a lease; zero means none.
type LeaseID uint64

// Entry is a key with its value and the revision of its last change.
type Entry struct {
	Key      string   `json:"key"`
	Value    []byte   `json:"value,omitempty"`
	Revision Revision `json:"revision"`
	// Lease is the lease whose end deletes the entry; zero means none.
	Lease LeaseID `json:"lease,omitempty"`
	// Deleted is true only in the result of a watch.
	Deleted bool `json:"deleted,omitempty"`
}

// PutRequest is a compare-and-swap of one key.
type PutRequest struct {
	Key   string `json:"key"`
	Value []byte `json:"value,omitempty"`
	// IfRevision is the revision that the key must have; Absent if it must not exist.
	IfRevision Revision `json:"ifRevision"`
	Lease      LeaseID  `json:"lease,omitempty"`
	// Delete removes the key instead of writing Value.
	Delete bool `json:"delete,omitempty"`
}

// Client has the operations of the service that the system uses.
type Client interface {
	// Get returns one entry, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// List returns the entries under a prefix and the revision they were read at.
	List(ctx context.Context, prefix string) ([]Entry, Revision, error)
	// Put writes one key if it has the required revision, or returns ErrConflict. A
	// revision of an earlier era is never the required one.
	Put(ctx context.Context, put PutRequest) (Entry, error)
	// Watch returns the changes under a prefix after a revision. It waits for the
	// first one until the context ends or the service's longest wait is over, after
	// which it returns none. It may return ErrCompacted, and does so after a revision of
	// another era.
	Watch(ctx context.Context, prefix string, after Revision) ([]Entry, Revision, error)
	// Grant creates a lease that expires after ttl unless it is renewed. In a later era its
	// ID may be that of another lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew restarts the lease's ttl, or returns ErrNotFound if it has expired.
	Renew(ctx context.Context, lease LeaseID) error
	// Revoke ends the lease and deletes its entries.
	Revoke(ctx context.Context, lease LeaseID) error
	// Era returns the latest era that an answer has named.
	Era() Era
}
