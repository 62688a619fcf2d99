package commitment

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"auburngap/bundle"
)

// alwaysLive reports every shard as owned at epoch 1.
type alwaysLive struct{}

func (alwaysLive) LiveOwnership(int, time.Duration) (uint64, bool) { return 1, true }

// TestFirstBundle uses a key that was created shortly after an owner's start.
// Under a site's first bundle no other layout can have assigned the key to another
// shard. Under a later bundle that is not known.
func TestFirstBundle(t *testing.T) {
	cases := []struct {
		name    string
		version uint64
		want    Verdict
	}{{"first version", 1, Run}, {"later version", 2, Unknown}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now := time.UnixMilli(1_800_000_000_000)
			owner := NewOwner(OwnerConfig{
				Zone:            "north",
				OwnershipSource: alwaysLive{},
				Clock:           func() time.Duration { return time.Second },
				Now:             func() time.Time { return now },
			})
			index := bundle.NewIndex(&bundle.Bundle{Version: c.version, Zones: []bundle.Zone{{Name: "north", Shards: 1}}})
			owner.Apply(index)
			owner.Gained(0, 1, nil)
			now = now.Add(5 * time.Second)
			r := Request{Key: keyCreatedAt(now), Workspace: "school"}
			layout := NewLayout(index)
			answer := owner.HandleBegin(t.Context(), requestToProto(r, ShardID{Zone: "north"}, layout))
			assert.Equal(t, decisionFromProto(answer).Verdict, c.want)
		})
	}
}

func keyCreatedAt(createdAt time.Time) Key {
	key := Key(uuid.MustParse("00000000-0000-7000-8000-000000000001"))
	millis := createdAt.UnixMilli()
	for i := range 6 {
		key[i] = byte(millis >> (8 * (5 - i)))
	}
	return key
}
