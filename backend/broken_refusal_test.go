package backend

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"auburngap/request"
)

// TestBrokenRefusals guards against a "not run" or 421 that is believed although its
// answer is not whole.
func TestBrokenRefusals(t *testing.T) {
	for _, claim := range []string{"not run", "misdirected"} {
		head := strings.ReplaceAll(claims[claim], "ATTEMPT", "a1")
		for _, closes := range []string{"", "Connection: close\r\n"} {
			sound := map[string]string{
				"length":   fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(cutBody), cutBody),
				"chunks":   "Transfer-Encoding: chunked\r\n\r\n" + inOneChunk,
				"trailers": "Transfer-Encoding: chunked\r\n\r\n" + strings.TrimSuffix(inOneChunk, "\r\n") + "A: 1\r\n\r\n",
				"no body":  "Content-Length: 0\r\n\r\n",
			}
			for framing, rest := range sound {
				whole := head + closes + rest
				check := func(sent string, resets, stands bool) {
					t.Helper()
					_, err := attemptOf(t, newDialectClient(t, serveCut(t, sent, resets)), "a1")
					assert.Check(t, (request.AsRefusal(err).Outcome == request.NotRun) == stands, "%s, %s, after %q, reset %v: %v", claim, framing, sent, resets, err)
				}
				for sent := range len(whole) {
					check(whole[:sent], false, false)
					check(whole[:sent], true, false)
				}
				check(whole, false, true)
				check(whole, true, true)
			}
			check := func(sent string, resets, stands bool) {
				t.Helper()
				_, err := attemptOf(t, newDialectClient(t, serveCut(t, head+closes+sent, resets)), "a1")
				assert.Check(t, (request.AsRefusal(err).Outcome == request.NotRun) == stands, "%s, after %q, reset %v: %v", claim, sent, resets, err)
			}
			check("\r\n"+cutBody, false, true)
			check("\r\n"+cutBody, true, false)
			for _, broken := range []string{
				"12\r\n" + cutBody + "\r\n0\r\n\r\n", "c\r\n" + cutBody + "0\r\n\r\n", "c\n" + cutBody + "\r\n0\r\n\r\n", "x\r\n", "\r\n",
				"c\r\n" + cutBody + "\r\n0\r\nA B: 1\r\n\r\n", "0\r\nA : 1\r\n\r\n",
			} {
				check("Transfer-Encoding: chunked\r\n\r\n"+broken, false, false)
			}
		}
	}
}
