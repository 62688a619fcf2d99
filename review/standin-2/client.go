package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Uint64

// newAttempt returns a new attempt ID.
func newAttempt() string {
	return fmt.Sprintf("%08x%08x", uint32(time.Now().UnixNano()), uint32(attempts.Add(1)))
}

// requestText returns a request. A body of size bytes is sent with its length.
func requestText(method, path, host, attempt, key string, deadline time.Duration, size int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Request-Deadline: %d\r\n", method, path, host, attempt, deadline.Milliseconds())
	if key != "" {
		text += "Authorization: Bearer " + key + "\r\n"
	}
	if size > 0 || method == http.MethodPost || method == http.MethodPut {
		text += fmt.Sprintf("Content-Length: %d\r\n", size)
	}
	return text + "\r\n" + strings.Repeat("x", size)
}

// answer is what a client got; status 0 means no complete answer.
type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// readAnswer reads an answer.
func readAnswer(reader *bufio.Reader, method string) answer {
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, body: string(body), header: response.Header}
}

// logRequest records a request and its answer.
func (s *site) logRequest(m *machine, method, path, attempt string, sent time.Time, got answer) {
	result := fmt.Sprintf("answered %d, %d bytes", got.status, len(got.body))
	if got.status == 0 {
		result = fmt.Sprintf("no answer: %v", got.err)
	}
	s.log("%s: %s %s, sent to %s at %s, %s", attempt, method, path, m.name, s.at(sent), result)
}

// send sends one request without a body on a new connection.
func (s *site) send(m *machine, path, attempt, key string, deadline time.Duration) answer {
	sent := time.Now()
	got := sendOnce(m.outbound, requestText(http.MethodGet, path, "desk.example", attempt, key, deadline, 0), sent.Add(deadline+time.Second))
	s.logRequest(m, http.MethodGet, path, attempt, sent, got)
	return got
}

func sendOnce(address, text string, end time.Time) answer {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(end)
	if _, err := io.WriteString(conn, text); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(conn), http.MethodGet)
}
