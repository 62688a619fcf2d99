package roster

import (
	"math/rand/v2"
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
