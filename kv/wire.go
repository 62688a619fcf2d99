package kv

import (
	"net/http"
	"time"

	"github.com/joomcode/errorx"
)

// The paths of the service's HTTP protocol. Bodies are JSON.
const (
	PathGet    = "/v1/get"
	PathList   = "/v1/list"
	PathPut    = "/v1/put"
	PathWatch  = "/v1/watch"
	PathGrant  = "/v1/lease/grant"
	PathRenew  = "/v1/lease/renew"
	PathRevoke = "/v1/lease/revoke"
)

// ReadRequest is the body of a get (Key), a list and a watch (Prefix, After).
type ReadRequest struct {
	Key    string   `json:"key,omitempty"`
	Prefix string   `json:"prefix,omitempty"`
	After  Revision `json:"after,omitempty"`
}

// ReadAnswer is the answer of a list and a watch.
type ReadAnswer struct {
	Entries  []Entry  `json:"entries,omitempty"`
	Revision Revision `json:"revision"`
}

// LeaseRequest is the body of the lease calls.
type LeaseRequest struct {
	Lease LeaseID `json:"lease,omitempty"`
	// TTLMicros is the ttl of a grant in microseconds.
	TTLMicros int64 `json:"ttlMicros,omitempty"`
}

// TTL returns the ttl of a grant.
func (l LeaseRequest) TTL() time.Duration {
	return time.Duration(l.TTLMicros) * time.Microsecond
}

// LeaseAnswer is the answer of a grant.
type LeaseAnswer struct {
	Lease LeaseID `json:"lease"`
}

// ErrorAnswer is the body of every answer whose status is not 200.
type ErrorAnswer struct {
	Message string `json:"message"`
}

// StatusOf returns the HTTP status of an error of this package.
func StatusOf(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errorx.IsOfType(err, ErrConflict):
		return http.StatusConflict
	case errorx.IsOfType(err, ErrNotFound):
		return http.StatusNotFound
	case errorx.IsOfType(err, ErrInvalid):
		return http.StatusBadRequest
	default:
		return http.StatusServiceUnavailable
	}
}

// errorOf is the inverse of StatusOf; it returns nil for 200.
func errorOf(status int, message string) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrConflict.New("%s", message)
	case http.StatusNotFound:
		return ErrNotFound.New("%s", message)
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge:
		return ErrInvalid.New("%s", message)
	default:
		return ErrUnavailable.New("status %d: %s", status, message)
	}
}
