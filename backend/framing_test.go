package backend

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const inOneChunk = "c\r\n" + cutBody + "\r\n0\r\n\r\n"

// TestBrokenFraming guards against an answer whose head frames its body in two ways, or in
// one that the library does not know, so that the caller gets a body that is not the
// server's.
func TestBrokenFraming(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		for _, framing := range []string{
			"Content-Length: 12\r\nContent-Length: 12", "Content-Length: 12\r\nContent-Length: 4", "Content-Length: 12, 12", "Content-Length: 12, 4",
			"Content-Length: +12", "Content-Length: -12", "Content-Length: 1 2", "Content-Length: 0xc", "Content-Length: 12;", "Content-Length:", "Content-Length: 12.0",
			"Content-Length: 99999999999999999999",
			"Content-Length: 12\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 12",
			"content-length: 4\r\ntransfer-encoding: CHUNKED", "Content-Length: 0\r\nTransfer-Encoding: chunked",
			"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity",
			"Transfer-Encoding: chunked, chunked", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip", "Transfer-Encoding: identity",
			"Transfer-Encoding: xchunked", "Transfer-Encoding: \"chunked\"", "Transfer-Encoding:", "Transfer-Encoding: chunked;a=b",
			"Transfer-Encoding: " + strings.Repeat("x", 2000), "Content-Length: " + strings.Repeat("x", 2000),
		} {
			for claim, head := range claims {
				head = strings.Replace(head, "HTTP/1.1", version, 1)
				for _, body := range []string{cutBody, inOneChunk} {
					t.Run(fmt.Sprintf("%s, %s, %q, %q", version, claim, framing, body), func(t *testing.T) { checkBroken(t, head+framing+"\r\n\r\n"+body) })
				}
			}
		}
	}
	for claim, head := range claims {
		for _, encoding := range []string{"chunked", "Chunked", "identity", "gzip, chunked"} {
			head := strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1)
			t.Run(fmt.Sprintf("HTTP/1.0, %s, encoding %s", claim, encoding), func(t *testing.T) { checkBroken(t, head+"Transfer-Encoding: "+encoding+"\r\n\r\n"+inOneChunk) })
		}
	}
}

// TestSoundFraming checks that each way to frame a body that HTTP allows passes.
func TestSoundFraming(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n", "HTTP/1.1 200 OK\r\nContent-Length:\t012 \r\n", "HTTP/1.0 200 OK\r\ncontent-length:12\r\n",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 12\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 200 OK\r\ntransfer-encoding:Chunked \r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n", "HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n",
	} {
		t.Run(fmt.Sprintf("%q", text), func(t *testing.T) {
			body := cutBody
			if strings.Contains(text, "ncoding") {
				body = inOneChunk
			}
			text := text + testDialect.AttemptID + ": a1\r\n\r\n" + body
			got, _, err := readAnswer(t, newDialectClient(t, serveCut(t, text, false)), newAttempt("a1"))
			assert.NilError(t, err)
			assert.Equal(t, got, cutBody)
		})
	}
}
