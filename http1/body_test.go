package http1_test

import (
	"bufio"
	"errors"
	"io"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"auburngap/http1"
)

// read reads a response and returns its body, or the error that shows that it is broken.
func read(input io.Reader) (string, error) {
	reader := bufio.NewReader(input)
	var header fasthttp.ResponseHeader
	if err := http1.ReadHead(reader, &header); err != nil {
		return "", err
	}
	body, err := io.ReadAll(http1.NewBody(reader, &header))
	return string(body), err
}

// TestBodies checks which bodies pass as whole, whether they arrive at once or byte by byte.
func TestBodies(t *testing.T) {
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	cases := []struct {
		name, text string
		// body is that of a whole response; broken is set if there is none.
		body   string
		broken bool
	}{
		{"length", "Content-Length: 4\r\n\r\nbody", "body", false},
		{"length 0", "Content-Length: 0\r\n\r\n", "", false},
		{"more bytes than the length", "Content-Length: 4\r\n\r\nbodyHTTP/1.1", "body", false},
		{"fewer bytes than the length", "Content-Length: 5\r\n\r\nbody", "", true},
		{"no length", "\r\nbody", "body", false},
		{"no length, no body", "\r\n", "", false},
		{"chunks", chunked + "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", "body", false},
		{"no chunk", chunked + "0\r\n\r\n", "", false},
		{"chunk sizes in capitals with zeros", chunked + "00A\r\n0123456789\r\n000\r\n\r\n", "0123456789", false},
		{"chunk extensions", chunked + "4;a=b;c=\"d\"\r\nbody\r\n0;e\r\n\r\n", "body", false},
		{"trailers", chunked + "4\r\nbody\r\n0\r\nA: 1\r\nB: 2\r\n\r\n", "body", false},
		{"no last chunk", chunked + "4\r\nbody\r\n", "", true},
		{"cut chunk", chunked + "5\r\nbody", "", true},
		{"cut last chunk", chunked + "4\r\nbody\r\n0", "", true},
		{"no end of trailers", chunked + "4\r\nbody\r\n0\r\n", "", true},
		{"cut trailers", chunked + "4\r\nbody\r\n0\r\nA: 1\r\n", "", true},
		{"trailer with a blank in its name", chunked + "4\r\nbody\r\n0\r\nA B: 1\r\n\r\n", "", true},
		{"trailer that frames", chunked + "4\r\nbody\r\n0\r\nContent-Length: 4\r\n\r\n", "", true},
		{"no chunk size", chunked + "\r\nbody\r\n0\r\n\r\n", "", true},
		{"chunk size with a sign", chunked + "+4\r\nbody\r\n0\r\n\r\n", "", true},
		{"negative chunk size", chunked + "-4\r\nbody\r\n0\r\n\r\n", "", true},
		{"chunk size with a prefix", chunked + "0x4\r\nbody\r\n0\r\n\r\n", "", true},
		{"chunk size behind a blank", chunked + " 4\r\nbody\r\n0\r\n\r\n", "", true},
		{"chunk size that is no number", chunked + "g\r\nbody\r\n0\r\n\r\n", "", true},
		{"chunk size that overflows", chunked + "10000000000000004\r\nbody\r\n0\r\n\r\n", "", true},
		{"chunk size before a bare LF", chunked + "4\nbody\r\n0\r\n\r\n", "", true},
		{"chunk size before a bare CR", chunked + "4\rbody\r\n0\r\n\r\n", "", true},
		{"chunk before a bare LF", chunked + "4\r\nbody\n0\r\n\r\n", "", true},
		{"chunk shorter than its size", chunked + "5\r\nbody\r\n0\r\n\r\n", "", true},
		{"chunk longer than its size", chunked + "3\r\nbody\r\n0\r\n\r\n", "", true},
		{"last chunk before a bare LF", chunked + "4\r\nbody\r\n0\n\r\n", "", true},
		{"trailers before a bare LF", chunked + "4\r\nbody\r\n0\r\n\n", "", true},
	}
	for _, c := range cases {
		text := "HTTP/1.1 200 OK\r\n" + c.text
		for name, input := range map[string]io.Reader{
			"at once": strings.NewReader(text), "byte by byte": iotest.OneByteReader(strings.NewReader(text)),
			"with its end": iotest.DataErrReader(strings.NewReader(text)),
		} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				body, err := read(input)
				assert.Equal(t, http1.IsBroken(err), c.broken, "%v", err)
				if !c.broken {
					assert.NilError(t, err)
					assert.Equal(t, body, c.body)
				}
			})
		}
	}
}

// TestReadErrors checks that a reset is a broken response at any byte of it but the first,
// and that a timeout is none.
func TestReadErrors(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		for sent := range len(text) {
			_, err := read(io.MultiReader(strings.NewReader(text[:sent]), iotest.ErrReader(syscall.ECONNRESET)))
			assert.Check(t, http1.IsBroken(err) == (sent > 0), "reset after %q: %v", text[:sent], err)
			_, err = read(io.MultiReader(strings.NewReader(text[:sent]), iotest.ErrReader(os.ErrDeadlineExceeded)))
			assert.Check(t, errors.Is(err, os.ErrDeadlineExceeded), "timeout after %q: %v", text[:sent], err)
		}
	}
}
