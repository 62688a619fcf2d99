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
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	sound := []string{
		"Content-Length: 0\r\n\r\n",
		fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(cutBody), cutBody),
		chunked + inOneChunk,
		chunked + strings.TrimSuffix(inOneChunk, "\r\n") + "A: 1\r\n\r\n",
	}
	malformed := []string{
		"12\r\n" + cutBody + "\r\n0\r\n\r\n", "c\r\n" + cutBody + "0\r\n\r\n", "c\n" + cutBody + "\r\n0\r\n\r\n", "x\r\n", "\r\n",
		"c\r\n" + cutBody + "\r\n0\r\nA B: 1\r\n\r\n", "0\r\nA : 1\r\n\r\n",
	}
	// check checks whether a refusal stands of which a part was sent.
	check := func(sent string, resets, stands bool) {
		t.Helper()
		_, err := attemptOf(t, newDialectClient(t, serveCut(t, sent, resets)), "a1")
		assert.Check(t, (request.AsRefusal(err).Outcome == request.NotRun) == stands, "after %q, reset %v: %v", sent, resets, err)
	}
	for _, claim := range []string{"not run", "misdirected"} {
		for _, closes := range []string{"", "Connection: close\r\n"} {
			head := strings.ReplaceAll(claims[claim], "ATTEMPT", "a1") + closes
			for _, rest := range sound {
				whole := head + rest
				for _, resets := range []bool{false, true} {
					for sent := range len(whole) {
						check(whole[:sent], resets, false)
					}
					check(whole, resets, true)
				}
			}
			check(head+"\r\n"+cutBody, false, true)
			check(head+"\r\n"+cutBody, true, false)
			for _, rest := range malformed {
				check(head+chunked+rest, false, false)
			}
		}
	}
}
