package directory

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"auburngap/kv"
)

// TestOddSlotsAreSkipped: another writer left odd entries among the relay slots. Nodes took
// them for relays of the lowest slots and tried to reach them first.
func TestOddSlotsAreSkipped(t *testing.T) {
	cases := map[string]struct {
		key, value string
		want       bool
	}{
		"relay":        {"0", `{"vm":"a","address":"10.0.0.1:7000"}`, true},
		"no address":   {"0", `{"vm":"a"}`, false},
		"no VM":        {"0", `{"address":"10.0.0.1:7000"}`, false},
		"port 0":       {"0", `{"vm":"a","address":"10.0.0.1:0"}`, false},
		"large port":   {"0", `{"vm":"a","address":"10.0.0.1:70000"}`, false},
		"null":         {"0", `null`, false},
		"empty":        {"0", ``, false},
		"deep nesting": {"0", strings.Repeat("[", 100_000), false},
		"large slot":   {strings.Repeat("9", 40), `{"vm":"a","address":"10.0.0.1:7000"}`, false},
		"negative":     {"-1", `{"vm":"a","address":"10.0.0.1:7000"}`, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			_, ok := parseSlot("z", kv.Entry{Key: relayPrefix("z") + c.key, Value: []byte(c.value), Revision: 1})
			assert.Equal(t, ok, c.want)
		})
	}
}
