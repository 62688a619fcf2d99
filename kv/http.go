package kv

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"auburngap/http1"
)

// The defaults of HTTPConfig.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultLongestWait = 10 * time.Second
)

// maxResponseBytes is the maximum size of an answer; a list may hold many values.
const maxResponseBytes = 64 << 20

// HTTPConfig is the configuration of a client over HTTP.
type HTTPConfig struct {
	// Address is where the service listens.
	Address netip.AddrPort
	// Timeout is the timeout of each call other than a watch; zero means
	// DefaultTimeout.
	Timeout time.Duration
	// LongestWait is how long the service lets a watch wait; zero means
	// DefaultLongestWait. The timeout of a watch is LongestWait plus Timeout.
	LongestWait time.Duration
}

// HTTPClient is a client of the service over HTTP. It is safe for concurrent use.
// It never retries a call.
type HTTPClient struct {
	config HTTPConfig
	host   *fasthttp.HostClient
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client that connects at its first call.
func NewHTTPClient(config HTTPConfig) *HTTPClient {
	config.Timeout = cmp.Or(config.Timeout, DefaultTimeout)
	config.LongestWait = cmp.Or(config.LongestWait, DefaultLongestWait)
	host := &fasthttp.HostClient{
		Addr:                config.Address.String(),
		MaxResponseBodySize: maxResponseBytes,
	}
	return &HTTPClient{config: config, host: host}
}

// Close closes the idle connections.
func (c *HTTPClient) Close() {
	c.host.CloseIdleConnections()
}

// Get implements Client.
func (c *HTTPClient) Get(ctx context.Context, key string) (Entry, error) {
	return call[Entry](ctx, c, PathGet, c.config.Timeout, ReadRequest{Key: key})
}

// List implements Client.
func (c *HTTPClient) List(ctx context.Context, prefix string) ([]Entry, Revision, error) {
	answer, err := call[ReadAnswer](ctx, c, PathList, c.config.Timeout, ReadRequest{Prefix: prefix})
	return answer.Entries, answer.Revision, err
}

// Put implements Client.
func (c *HTTPClient) Put(ctx context.Context, put PutRequest) (Entry, error) {
	if len(put.Value) > MaxValueBytes {
		return Entry{}, ErrInvalid.New("value of %s has %d bytes, more than the maximum of %d", put.Key, len(put.Value), MaxValueBytes)
	}
	return call[Entry](ctx, c, PathPut, c.config.Timeout, put)
}

// Watch implements Client.
func (c *HTTPClient) Watch(ctx context.Context, prefix string, after Revision) ([]Entry, Revision, error) {
	timeout := c.config.LongestWait + c.config.Timeout
	answer, err := call[ReadAnswer](ctx, c, PathWatch, timeout, ReadRequest{Prefix: prefix, After: after})
	return answer.Entries, answer.Revision, err
}

// Grant implements Client.
func (c *HTTPClient) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	answer, err := call[LeaseAnswer](ctx, c, PathGrant, c.config.Timeout, LeaseRequest{TTLMicros: ttl.Microseconds()})
	return answer.Lease, err
}

// Renew implements Client.
func (c *HTTPClient) Renew(ctx context.Context, lease LeaseID) error {
	_, err := call[struct{}](ctx, c, PathRenew, c.config.Timeout, LeaseRequest{Lease: lease})
	return err
}

// Revoke implements Client.
func (c *HTTPClient) Revoke(ctx context.Context, lease LeaseID) error {
	_, err := call[struct{}](ctx, c, PathRevoke, c.config.Timeout, LeaseRequest{Lease: lease})
	return err
}

// Era implements Client. The protocol names no era outside revisions.
func (c *HTTPClient) Era() Era { return 0 }

type exchangeResult struct {
	status int
	body   []byte
	err    error
}

// call posts one request and decodes its answer. It returns as soon as ctx
// ends; the exchange then runs on until its own deadline.
func call[A any](ctx context.Context, c *HTTPClient, path string, timeout time.Duration, body any) (A, error) {
	var answer A
	encoded, err := json.Marshal(body)
	if err != nil {
		return answer, ErrInvalid.Wrap(err, "cannot encode the request")
	}
	if err := ctx.Err(); err != nil {
		return answer, ErrUnavailable.Wrap(err, "no time left to call %s", path)
	}
	deadline := time.Now().Add(timeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	done := make(chan exchangeResult, 1)
	go func() { done <- c.exchange(path, encoded, deadline) }()
	select {
	case <-ctx.Done():
		return answer, ErrUnavailable.Wrap(ctx.Err(), "no answer to %s", path)
	case got := <-done:
		return decode[A](path, got)
	}
}

func decode[A any](path string, result exchangeResult) (A, error) {
	var answer A
	if result.err != nil {
		return answer, ErrUnavailable.Wrap(result.err, "no answer to %s", path)
	}
	if result.status != http.StatusOK {
		var failure ErrorAnswer
		if err := json.Unmarshal(result.body, &failure); err != nil {
			return answer, ErrUnavailable.Wrap(err, "cannot decode the body of status %d to %s", result.status, path)
		}
		return answer, errorOf(result.status, failure.Message)
	}
	if err := json.Unmarshal(result.body, &answer); err != nil {
		return answer, ErrUnavailable.Wrap(err, "cannot decode the answer to %s", path)
	}
	return answer, nil
}

func (c *HTTPClient) exchange(path string, body []byte, deadline time.Time) exchangeResult {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.host.Addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.SetBodyRaw(body)
	if err := http1.Do(c.host, req, resp, deadline); err != nil {
		return exchangeResult{err: err}
	}
	return exchangeResult{status: resp.StatusCode(), body: append([]byte(nil), resp.Body()...)}
}
