package httpconn

import (
	"bytes"
	"strings"

	"github.com/valyala/fasthttp"

	"auburngap/request"
)

// Prefix is the prefix of the names of this project's own headers.
const Prefix = "Auburngap-"

// The headers that this project defines or uses.
const (
	HeaderKey       = "Auburngap-Key"
	HeaderToken     = "Auburngap-Token"
	HeaderTimeout   = "Auburngap-Timeout"
	HeaderRequestID = "Auburngap-Request-Id"
	HeaderOutcome   = "Auburngap-Outcome"
	HeaderCause     = "Auburngap-Cause"
	// HeaderIdempotencyKey is the usual header, not one of this project's own.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// hopHeaders are the headers that belong to one connection and are not forwarded.
var hopHeaders = map[string]bool{
	"connection":          true,
	"keep-alive":          true,
	"proxy-authenticate":  true,
	"proxy-authorization": true,
	"proxy-connection":    true,
	"te":                  true,
	"transfer-encoding":   true,
	"upgrade":             true,
	"content-length":      true,
	"host":                true,
}

// IsHop reports whether a header belongs to one connection only.
func IsHop(name []byte) bool {
	var buffer [32]byte
	if len(name) > len(buffer) {
		return false
	}
	lower := append(buffer[:0], name...)
	for i, c := range lower {
		if c >= 'A' && c <= 'Z' {
			lower[i] = c + 'a' - 'A'
		}
	}
	return hopHeaders[string(lower)]
}

// IsOwn reports whether a header is one of this project's own.
func IsOwn(name []byte) bool {
	return len(name) >= len(Prefix) && strings.EqualFold(string(name[:len(Prefix)]), Prefix)
}

// Collector collects copies of the headers that are forwarded.
type Collector struct {
	headers []request.Header
	buffer  []byte
	// connectionHeaders are the names that Connection lists as belonging to this hop.
	connectionHeaders [][]byte
}

// NewCollector returns a collector that leaves out the headers named in the
// Connection header. It allocates space for the expected number of headers.
func NewCollector(connection []byte, expected int) *Collector {
	c := &Collector{headers: make([]request.Header, 0, expected)}
	for part := range bytes.SplitSeq(connection, []byte(",")) {
		if part = bytes.TrimSpace(part); len(part) > 0 {
			c.connectionHeaders = append(c.connectionHeaders, part)
		}
	}
	return c
}

// Add copies one header unless it belongs to the hop or is one of this project's own.
func (c *Collector) Add(name, value []byte) {
	if IsHop(name) || IsOwn(name) || c.isConnectionHeader(name) {
		return
	}
	start := len(c.buffer)
	c.buffer = append(c.buffer, name...)
	middle := len(c.buffer)
	c.buffer = append(c.buffer, value...)
	end := len(c.buffer)
	c.headers = append(c.headers, request.Header{
		Name:  c.buffer[start:middle:middle],
		Value: c.buffer[middle:end:end],
	})
}

func (c *Collector) isConnectionHeader(name []byte) bool {
	for _, named := range c.connectionHeaders {
		if bytes.EqualFold(named, name) {
			return true
		}
	}
	return false
}

// Headers returns the collected headers.
func (c *Collector) Headers() []request.Header {
	return c.headers
}

// RequestHeaders returns the headers of a request that are forwarded.
func RequestHeaders(h *fasthttp.RequestHeader) []request.Header {
	c := NewCollector(h.Peek("Connection"), h.Len())
	for name, value := range h.All() {
		c.Add(name, value)
	}
	return c.Headers()
}

// ResponseHeaders returns the headers of an answer that are forwarded.
func ResponseHeaders(h *fasthttp.ResponseHeader) []request.Header {
	c := NewCollector(h.Peek("Connection"), h.Len())
	for name, value := range h.All() {
		c.Add(name, value)
	}
	return c.Headers()
}
