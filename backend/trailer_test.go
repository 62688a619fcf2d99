package backend

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

// readAnswer sends a call and reads the answer to its end. It returns the body and the
// trailers of a whole one.
func readAnswer(t *testing.T, client *Client, call *request.Call) (body string, trailers []request.Header, err error) {
	t.Helper()
	ctx, cancel := context.WithDeadline(t.Context(), call.Context.Deadline)
	defer cancel()
	answer, err := client.Serve(ctx, call)
	if err != nil {
		return "", nil, err
	}
	defer func() { assert.Check(t, answer.Body.Close()) }()
	data, err := io.ReadAll(answer.Body)
	if err != nil {
		return "", nil, err
	}
	return string(data), answer.Trailers(), nil
}

// inChunks returns a body of the stated size in chunks, up to its last chunk, which is
// empty.
func inChunks(size int) string {
	const chunkBytes = 1000
	chunk := fmt.Sprintf("%x\r\n%s\r\n", chunkBytes, strings.Repeat("x", chunkBytes))
	return strings.Repeat(chunk, size/chunkBytes) + "0\r\n"
}

// TestBrokenTrailers guards against an answer that passes for whole although a line of its
// trailers is not a field.
func TestBrokenTrailers(t *testing.T) {
	head := claims["success"] + "Transfer-Encoding: chunked\r\n\r\n"
	for _, size := range []int{0, 3000, 2 * request.MaxBufferedBodyBytes} {
		for _, field := range append(brokenFields, brokenFraming...) {
			for _, before := range []string{"", "Checksum: 1\r\n"} {
				t.Run(fmt.Sprintf("%d bytes, %q%q", size, before, field), func(t *testing.T) {
					address, ended := serveAnswer(t, head+inChunks(size)+before+field+"\r\n\r\n")
					client := newDialectClient(t, address)
					reasons := recordBroken(client)
					body, trailers, err := readAnswer(t, client, newAttempt("a1"))
					assert.Assert(t, err != nil, "passes with %d bytes and %q", len(body), trailers)
					assert.Equal(t, request.AsRefusal(err).Outcome, request.Unknown)
					assert.ErrorContains(t, <-ended, "EOF")
					reasons.check(t, 1)
				})
			}
		}
	}
}

// TestCutTrailers guards against an answer that passes for whole although its connection
// has ended within the trailers.
func TestCutTrailers(t *testing.T) {
	whole := claims["success"] + "Transfer-Encoding: chunked\r\n\r\n" + inChunks(3000) + "Checksum: 1\r\nSeal: 2\r\n\r\n"
	whole = strings.ReplaceAll(whole, "ATTEMPT", "a1")
	for cut := strings.Index(whole, "0\r\n"); cut < len(whole); cut++ {
		for _, resets := range []bool{false, true} {
			_, _, err := readAnswer(t, newDialectClient(t, serveCut(t, whole[:cut], resets)), newAttempt("a1"))
			assert.Check(t, err != nil && request.AsRefusal(err).Outcome == request.Unknown, "passes, cut before %q", whole[cut:])
		}
	}
}

// TestSoundTrailers checks that the trailers that HTTP allows pass unchanged, announced
// beforehand or not, and that the connection stays in use.
func TestSoundTrailers(t *testing.T) {
	for _, announced := range []string{"", "Trailer: Checksum\r\n"} {
		for _, size := range []int{0, 3000, 2 * request.MaxBufferedBodyBytes} {
			for _, trailer := range []string{"", "Checksum: 1", "checksum:1", "Checksum: 1\r\nx.y~z: \xe9", "Checksum:"} {
				t.Run(fmt.Sprintf("%q, %d bytes, %q", announced, size, trailer), func(t *testing.T) {
					text := claims["success"] + announced + "Transfer-Encoding: chunked\r\n\r\n" + inChunks(size)
					if trailer != "" {
						text += trailer + "\r\n"
					}
					server := &earlyServer{answer: text + "\r\n"}
					client := newDialectClient(t, acceptAll(t, server.serve))
					for range 2 {
						body, trailers, err := readAnswer(t, client, newAttempt("a1"))
						assert.NilError(t, err)
						assert.Equal(t, len(body), size/1000*1000)
						for field := range strings.SplitSeq(trailer, "\r\n") {
							name, value, found := strings.Cut(field, ":")
							assert.Assert(t, !found || hasHeader(trailers, []byte(name), []byte(strings.TrimSpace(value))), "%q", trailers)
						}
					}
					assert.Equal(t, server.connections.Load(), int64(1))
				})
			}
		}
	}
}
