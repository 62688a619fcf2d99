package roster

import (
	"testing"

	"gotest.tools/v3/assert"

	"auburngap/kv"
)

func FuzzDecodeMember(f *testing.F) {
	f.Add(entry("online/a", 1).Value)
	f.Fuzz(func(t *testing.T, value []byte) {
		member, err := decodeMember("online/", kv.Entry{Key: "online/a", Value: value})
		if err == nil {
			assert.Assert(t, member.Address.IsValid() && member.VM == "a")
			return
		}
		assert.Assert(t, len(err.Error()) < 1<<10, "an error of %d bytes", len(err.Error()))
	})
}
