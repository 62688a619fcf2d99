package fake_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"auburngap/kv"
	"auburngap/platform"
)

// storeBody is a body that acknowledges each call, in both protocols.
const storeBody = `{"key":"k","value":"dg==","revision":7,"lease":7}`

// rawStore is a service that writes bytes of a test's choice.
type rawStore struct {
	// respond answers the request of a number, from 0, and returns whether the connection
	// stays open.
	respond func(conn *net.TCPConn, number int64) bool
	// requests counts the requests. Their bodies are not read if unread is set.
	requests atomic.Int64
	unread   bool
}

func (s *rawStore) serve(t *testing.T) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, listener.Close()) })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serveConn(conn.(*net.TCPConn))
		}
	}()
	return netip.MustParseAddrPort(listener.Addr().String())
}

func (s *rawStore) serveConn(conn *net.TCPConn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		incoming, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if !s.unread {
			_, _ = io.Copy(io.Discard, incoming.Body)
		}
		if !s.respond(conn, s.requests.Add(1)-1) {
			return
		}
	}
}

// storeClients returns the clients of the two protocols.
func storeClients(t *testing.T, address netip.AddrPort) map[string]kv.Client {
	t.Helper()
	own := kv.NewHTTPClient(kv.HTTPConfig{Address: address, Timeout: time.Second, LongestWait: time.Millisecond})
	t.Cleanup(own.Close)
	hosted := platform.NewStore(platform.StoreConfig{Address: address, Timeout: time.Second, WatchWait: time.Millisecond})
	return map[string]kv.Client{"HTTPClient": own, "platform.Store": hosted}
}

// storeCalls are the calls of a client by name.
var storeCalls = map[string]func(context.Context, kv.Client) error{
	"put": func(ctx context.Context, c kv.Client) error {
		_, err := c.Put(ctx, kv.PutRequest{Key: "k", Value: []byte("v")})
		return err
	},
	"get": func(ctx context.Context, c kv.Client) error {
		_, err := c.Get(ctx, "k")
		return err
	},
	"list": func(ctx context.Context, c kv.Client) error {
		_, _, err := c.List(ctx, "k")
		return err
	},
	"watch": func(ctx context.Context, c kv.Client) error {
		_, _, err := c.Watch(ctx, "k", 1)
		return err
	},
	"grant": func(ctx context.Context, c kv.Client) error {
		_, err := c.Grant(ctx, time.Second)
		return err
	},
	"renew":  func(ctx context.Context, c kv.Client) error { return c.Renew(ctx, 7) },
	"revoke": func(ctx context.Context, c kv.Client) error { return c.Revoke(ctx, 7) },
}

// sendRaw returns a response that writes a text, and then resets the connection, closes it
// or keeps it open.
func sendRaw(text, then string) func(*net.TCPConn, int64) bool {
	return func(conn *net.TCPConn, _ int64) bool {
		_, _ = io.WriteString(conn, text)
		if then == "reset" {
			_ = conn.SetLinger(0)
		}
		return then == "open"
	}
}

// TestBrokenResponses guards against a lease or a write that counts as acknowledged, and
// against an entry that counts as absent or changed, because of a response that is not as
// HTTP requires, or not whole.
func TestBrokenResponses(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(storeBody))
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(storeBody), storeBody)
	const ok, chunked = "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n"
	broken := map[string]struct{ text, then string }{
		"status 000":                              {"HTTP/1.1 000 OK\r\n" + length + "\r\n" + storeBody, "open"},
		"status 000 as an interim response":       {"HTTP/1.1 000 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + length + "\r\n" + storeBody, "open"},
		"status 000 behind blanks":                {"HTTP/1.1   000 OK\r\n" + length + "\r\n" + storeBody, "open"},
		"status 000 behind an empty line":         {"\r\nHTTP/1.1 000 OK\r\n" + length + "\r\n" + storeBody, "open"},
		"status 000 behind an interim response":   {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n" + length + "\r\n" + storeBody, "open"},
		"status 999":                              {"HTTP/1.1 999 OK\r\n" + length + "\r\n" + storeBody, "open"},
		"blank in a name":                         {ok + "X Y: 1\r\n" + length + "\r\n" + storeBody, "open"},
		"blank behind a name":                     {ok + "X : 1\r\n" + length + "\r\n" + storeBody, "open"},
		"blank in a name that frames":             {ok + "Transfer Encoding: chunked\r\n" + length + "\r\n" + storeBody, "open"},
		"blank behind a name that frames":         {ok + "Content-Length : " + fmt.Sprint(len(storeBody)) + "\r\n\r\n" + storeBody, "open"},
		"blank in a name, absent":                 {"HTTP/1.1 404 x\r\nX Y: 1\r\n" + length + "\r\n" + storeBody, "open"},
		"blank in a name, conflict":               {"HTTP/1.1 409 x\r\nX Y: 1\r\n" + length + "\r\n" + storeBody, "open"},
		"blank in a name, failed precondition":    {"HTTP/1.1 412 x\r\nX Y: 1\r\n" + length + "\r\n" + storeBody, "open"},
		"blank in a name, compacted":              {"HTTP/1.1 410 x\r\nX Y: 1\r\n" + length + "\r\n" + storeBody, "open"},
		"blank in a name, invalid":                {"HTTP/1.1 400 x\r\nX Y: 1\r\n" + length + "\r\n" + storeBody, "open"},
		"control byte in a name":                  {ok + "X\x01Y: 1\r\n" + length + "\r\n" + storeBody, "open"},
		"control byte in a value":                 {ok + "X: a\x01b\r\n" + length + "\r\n" + storeBody, "open"},
		"folded value":                            {ok + "X: a\r\n b\r\n" + length + "\r\n" + storeBody, "open"},
		"length and chunks":                       {ok + length + chunked + "\r\n" + chunk + "0\r\n\r\n", "open"},
		"chunks with HTTP/1.0":                    {"HTTP/1.0 200 OK\r\n" + length + chunked + "\r\n" + storeBody, "open"},
		"blank in the name of a trailer":          {ok + chunked + "\r\n" + chunk + "0\r\nX Y: 1\r\n\r\n", "open"},
		"malformed chunk":                         {ok + chunked + "\r\n" + chunk + "x\r\n\r\n", "open"},
		"head cut by a close":                     {ok + length, "close"},
		"body cut by a close":                     {ok + length + "\r\n" + storeBody[:len(storeBody)-1], "close"},
		"body cut by a reset":                     {ok + length + "\r\n" + storeBody[:len(storeBody)-1], "reset"},
		"chunks cut by a close":                   {ok + chunked + "\r\n" + chunk, "close"},
		"trailers cut by a close":                 {ok + chunked + "\r\n" + chunk + "0\r\n", "close"},
		"body without a length, cut by a reset":   {ok + "\r\n" + storeBody, "reset"},
		"no body and no length, cut by a reset":   {ok + "\r\n", "reset"},
		"absent without a length, cut by a reset": {"HTTP/1.1 404 x\r\n\r\n" + storeBody, "reset"},
	}
	for name, response := range broken {
		store := &rawStore{respond: sendRaw(response.text, response.then)}
		for clientName, client := range storeClients(t, store.serve(t)) {
			for callName, call := range storeCalls {
				t.Run(fmt.Sprintf("%s, %s, %s", name, clientName, callName), func(t *testing.T) {
					err := call(t.Context(), client)
					assert.Assert(t, errorx.IsOfType(err, kv.ErrUnavailable), "%v", err)
				})
			}
		}
	}
}

// TestSoundResponses checks that each way in which HTTP lets a response end passes.
func TestSoundResponses(t *testing.T) {
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(storeBody))
	chunk := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n", len(storeBody), storeBody)
	for name, response := range map[string]struct{ text, then string }{
		"length":              {"HTTP/1.1 200 OK\r\n" + length + storeBody, "open"},
		"length, HTTP/1.0":    {"HTTP/1.0 200 OK\r\n" + length + storeBody, "close"},
		"odd names":           {"HTTP/1.1 200 \r\n!#$%&'*+-.^_`|~9: \xe9\r\nX:\r\n" + length + storeBody, "open"},
		"chunks":              {"HTTP/1.1 200 OK\r\n" + chunk + "\r\n", "open"},
		"chunks, trailers":    {"HTTP/1.1 200 OK\r\n" + chunk + "A: 1\r\n\r\n", "open"},
		"no length":           {"HTTP/1.1 200 OK\r\n\r\n" + storeBody, "close"},
		"interim response":    {"HTTP/1.1 103 x\r\nA: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + length + storeBody, "open"},
		"connection: close":   {"HTTP/1.1 200 OK\r\nConnection: close\r\n" + length + storeBody, "close"},
		"whole, then a reset": {"HTTP/1.1 200 OK\r\n" + length + storeBody, "reset"},
	} {
		store := &rawStore{respond: sendRaw(response.text, response.then)}
		address := store.serve(t)
		for callName, call := range storeCalls {
			for clientName, client := range storeClients(t, address) {
				t.Run(fmt.Sprintf("%s, %s, %s", name, clientName, callName), func(t *testing.T) {
					assert.NilError(t, call(t.Context(), client))
				})
			}
		}
	}
}

// TestEarlyResponseCutByReset guards against a write that counts as acknowledged by a
// response without a length, whose connection was reset before the request was written.
func TestEarlyResponseCutByReset(t *testing.T) {
	for _, then := range []string{"reset", "close"} {
		for _, wait := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond} {
			store := &rawStore{unread: true}
			store.respond = func(conn *net.TCPConn, number int64) bool {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+storeBody)
				time.Sleep(wait)
				return sendRaw("", then)(conn, number)
			}
			for name, client := range storeClients(t, store.serve(t)) {
				value := []byte(strings.Repeat("v", kv.MaxValueBytes))
				_, err := client.Put(t.Context(), kv.PutRequest{Key: "k", Value: value})
				assert.Check(t, errorx.IsOfType(err, kv.ErrUnavailable), "%s, %s after %v: %v", name, then, wait, err)
			}
		}
	}
}

// TestStrayResponseIsNoAcknowledgement guards against a lease that counts as renewed by
// bytes that the service had written behind an earlier response, together with it or later.
func TestStrayResponseIsNoAcknowledgement(t *testing.T) {
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(storeBody), storeBody)
	for _, name := range []string{"HTTPClient", "platform.Store"} {
		for _, together := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, together %v", name, together), func(t *testing.T) {
				received, written := make(chan struct{}), make(chan struct{})
				store := &rawStore{}
				store.respond = func(conn *net.TCPConn, number int64) bool {
					if number > 0 {
						_, _ = io.WriteString(conn, "HTTP/1.1 404 x\r\nContent-Length: 2\r\n\r\n{}")
						return true
					}
					defer close(written)
					if together {
						_, _ = io.WriteString(conn, whole+whole)
						return true
					}
					_, _ = io.WriteString(conn, whole)
					<-received
					_, _ = io.WriteString(conn, whole)
					return true
				}
				client := storeClients(t, store.serve(t))[name]
				assert.NilError(t, client.Renew(t.Context(), 7))
				close(received)
				<-written
				err := client.Renew(t.Context(), 7)
				assert.Assert(t, errorx.IsOfType(err, kv.ErrNotFound), "%v", err)
			})
		}
	}
}
