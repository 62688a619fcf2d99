package http1_test

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"

	"auburngap/http1"
)

// BenchmarkReadHead compares the time to read a head of ten fields with that of the library
// alone.
func BenchmarkReadHead(b *testing.B) {
	head := []byte("HTTP/1.1 200 OK\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nX-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n" +
		"X-Server-Load: 3,0,8\r\nX-Instance-Id: i-7f3a91c2\r\nDate: Sun, 06 Dec 2026 22:22:11 GMT\r\nContent-Type: text/plain\r\n" +
		"Keep-Alive: timeout=10\r\nServer: catalogue\r\nCache-Control: no-store\r\nContent-Length: 0\r\n\r\n")
	var header fasthttp.ResponseHeader
	for name, read := range map[string]func(*bufio.Reader) error{
		"library": func(reader *bufio.Reader) error { return header.Read(reader) },
		"checked": func(reader *bufio.Reader) error { return http1.ReadHead(reader, &header) },
	} {
		b.Run(name, func(b *testing.B) {
			in := bytes.NewReader(nil)
			reader := bufio.NewReader(in)
			b.ReportAllocs()
			for b.Loop() {
				in.Reset(head)
				reader.Reset(in)
				assert.NilError(b, read(reader))
			}
		})
	}
}
