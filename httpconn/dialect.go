package httpconn

import (
	"bytes"

	"github.com/valyala/fasthttp"

	"auburngap/request"
)

// Dialect names the headers of a site whose callers and backend servers use their
// own headers instead of this project's. All names are canonical.
type Dialect struct {
	// AttemptID carries the caller's ID of an attempt; answers repeat it.
	AttemptID string
	// Timeout carries the time left, in milliseconds.
	Timeout string
	// Workspace names, for backend servers, the workspace of a request.
	Workspace string
	// Instance names the instance of the backend server that a request is meant for.
	Instance string
	// Caller names, for backend servers, the service on whose VM the request originated.
	Caller string
	// NotRun marks answers of backend servers that did not run the request.
	NotRun string
	// Load carries a backend server's running and waiting requests and its slots.
	Load string
	// InstanceEcho names in an answer the instance that gave it.
	InstanceEcho string
	// WriteRefusal answers a request that has no backend server's answer.
	WriteRefusal func(ctx *fasthttp.RequestCtx, refusal *request.Refusal)
}

// Refuse answers a request that has no backend server's answer, with this project's
// own headers if d is nil.
func (d *Dialect) Refuse(ctx *fasthttp.RequestCtx, refusal *request.Refusal) {
	if d == nil {
		WriteRefusal(ctx, refusal)
		return
	}
	d.WriteRefusal(ctx, refusal)
}

// RequestHeaders removes the headers that this project sets itself for backend
// servers, so that a caller cannot set them.
func (d *Dialect) RequestHeaders(headers []request.Header) []request.Header {
	return without(headers, d.Timeout, d.Workspace, d.Instance, d.Caller)
}

// ResponseHeaders removes the headers that are meant only for the node beside the
// backend server.
func (d *Dialect) ResponseHeaders(headers []request.Header) []request.Header {
	return without(headers, d.Load, d.InstanceEcho)
}

func without(headers []request.Header, names ...string) []request.Header {
	kept := headers[:0]
	for _, h := range headers {
		if !isOneOf(h.Name, names) {
			kept = append(kept, h)
		}
	}
	return kept
}

func isOneOf(name []byte, names []string) bool {
	for _, n := range names {
		if bytes.EqualFold(name, []byte(n)) {
			return true
		}
	}
	return false
}
