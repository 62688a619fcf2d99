package roster

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOverdueReadStartsAnother: a node that waited for a silent reader of its zone did not
// read from any other source meanwhile.
func TestOverdueReadStartsAnother(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	members := []Member{
		{VM: "a", Zone: "z", Address: vmAddress(0)},
		{VM: "b", Zone: "z", Address: vmAddress(1)},
		{VM: "c", Zone: "z", Address: vmAddress(2)},
	}
	s := NewSourceSelector("c", "z")
	first, ok := s.Next(0, members, false, random)
	assert.Assert(t, ok)
	s.Started(first, queryOverdueAfter)
	_, ok = s.Next(queryOverdueAfter/2, members, false, random)
	assert.Assert(t, !ok, "a second read starts although the first is not overdue")
	assert.Equal(t, s.NextAt(queryOverdueAfter/2, time.Minute), queryOverdueAfter)

	second, ok := s.Next(queryOverdueAfter, members, false, random)
	assert.Assert(t, ok)
	assert.Assert(t, second != first && !second.IsService())
	s.Started(second, 2*queryOverdueAfter)
	third, ok := s.Next(2*queryOverdueAfter, members, false, random)
	assert.Assert(t, ok)
	assert.Equal(t, third, Source{})
}

// TestSuspectViewReadsFromService: a node whose sources answered, but did not know the
// latest changes, kept reading from them.
func TestSuspectViewReadsFromService(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	members := []Member{{VM: "a", Zone: "z", Address: vmAddress(0)}, {VM: "c", Zone: "z", Address: vmAddress(2)}}
	s := NewSourceSelector("c", "z")
	s.Started(Source{Node: vmAddress(0)}, time.Second)
	source, ok := s.Next(0, members, true, random)
	assert.Assert(t, ok)
	assert.Equal(t, source, Source{})
	s.Started(source, time.Second)
	_, ok = s.Next(0, members, true, random)
	assert.Assert(t, !ok, "two reads of the service at a time")
}

// TestSources makes sources fail one after the other.
func TestSources(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	member := func(vm, zone string, port uint16) Member {
		return Member{VM: vm, Zone: zone, Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)}
	}
	members := []Member{member("a", "near", 1), member("b", "near", 2), member("c", "near", 3), member("d", "far", 4)}
	service := Source{}
	next := func(s *SourceSelector, now time.Duration, members []Member) Source {
		source, ok := s.Next(now, members, false, random)
		assert.Assert(t, ok)
		return source
	}
	node := func(i int) Source { return Source{Node: members[i].Address} }

	reader := NewSourceSelector("a", "near")
	assert.Equal(t, next(reader, 0, nil), service)
	assert.Equal(t, next(reader, 0, members), service)
	reader.Failed(0, service)
	assert.Equal(t, next(reader, 0, members), node(1))
	assert.Equal(t, next(reader, minSourceBackoff, members), service)

	other := NewSourceSelector("c", "near")
	first := next(other, 0, members)
	second := next(other, 0, members)
	assert.Assert(t, first != second, "the readers take turns")
	assert.Assert(t, (first == node(0) || first == node(1)) && (second == node(0) || second == node(1)))
	other.Failed(0, first)
	assert.Equal(t, next(other, 0, members), second)
	assert.Equal(t, next(other, 0, members), second)
	other.Failed(0, second)
	assert.Equal(t, next(other, 0, members), service)
	other.Failed(0, service)
	assert.Equal(t, next(other, 0, members), node(3))
	other.Succeeded(first)
	assert.Equal(t, next(other, 0, members), first)
	other.Failed(0, first)
	other.Failed(0, node(3))
	_, ok := other.Next(0, members, false, random)
	assert.Assert(t, !ok, "a source is returned although all sources have just failed")
}
