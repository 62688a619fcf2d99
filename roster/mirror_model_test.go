package roster

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"auburngap/kv"
	kvfake "auburngap/kv/fake"
)

// init fixes the seed and the number of the random runs, and keeps no file of a failed one.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "10000", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// modelStep is one thing that happens; I and J are numbers of nodes or mirrors.
type modelStep struct {
	Name    string
	I, J    int
	Arrives bool // the answer of a read arrives at once
}

var modelSteps = rapid.Custom(func(t *rapid.T) modelStep {
	number := rapid.IntRange(0, 2)
	name := rapid.SampledFrom([]string{"write", "expire", "copy", "drill", "read", "node", "arrive", "config", "kill"}).Draw(t, "name")
	return modelStep{name, number.Draw(t, "i"), number.Draw(t, "j"), rapid.Bool().Draw(t, "arrives")}
})

// model is a store, its writers, and the mirrors that read from it and from each other.
type model struct {
	t       *rapid.T
	store   *kvfake.Service
	saved   kvfake.Copy
	version int
	// incarnations and sequences are those of the writers; a sequence of 0 means that the
	// process has ended.
	incarnations, sequences [3]int
	mirrors                 [3]*Mirror
	// inFlight holds the answers that have not arrived yet, by mirror.
	inFlight [3][]Delta
	versions [3]int
	// gone holds the latest entry of each node that the mirror has seen removed.
	gone [3]map[string]kv.Entry
}

// put writes or, without a value, removes an entry of the store.
func (m *model) put(key string, value []byte) {
	known, err := m.store.Get(m.t.Context(), key)
	if err != nil && value == nil {
		return
	}
	_, err = m.store.Put(m.t.Context(), kv.PutRequest{Key: key, Value: value, IfRevision: known.Revision, Delete: value == nil})
	assert.NilError(m.t, err)
}

func (m *model) writeNode(i int) {
	m.sequences[i]++
	entry := written(fmt.Sprint(i), m.incarnations[i], m.sequences[i], 0)
	m.put(entry.Key, entry.Value)
}

func (m *model) writeConfig() {
	m.version++
	m.put(configKey, config(m.version, 0).Value)
}

func (m *model) do(s modelStep) {
	mirror, inFlight := m.mirrors[s.I], m.inFlight[s.I]
	switch s.Name {
	case "write":
		if m.sequences[s.I] == 0 {
			m.incarnations[s.I]++
		}
		m.writeNode(s.I)
	case "kill":
		m.sequences[s.I] = 0
	case "expire":
		m.put(fmt.Sprint("online/", s.I), nil)
	case "copy":
		m.saved = m.store.Copy()
	case "drill":
		m.store.Restore(m.saved)
	case "config":
		m.writeConfig()
	case "read":
		m.read(s, m.since(mirror.Revision()))
	case "node":
		m.read(s, m.mirrors[s.J].Since(mirror.Revision()))
	case "arrive":
		if s.J < len(inFlight) {
			m.inFlight[s.I] = slices.Delete(slices.Clone(inFlight), s.J, s.J+1)
			m.apply(s.I, inFlight[s.J])
		}
	}
}

// since reads the store as the follower does.
func (m *model) since(revision kv.Revision) Delta {
	delta, err := (&Follower{config: FollowerConfig{Client: m.store}}).readService(m.t.Context(), revision)
	assert.NilError(m.t, err)
	return delta
}

// read begins to read. The follower refuses answers without a revision or of an earlier era.
func (m *model) read(s modelStep, delta Delta) {
	switch known := m.mirrors[s.I].Revision(); {
	case delta.Revision == 0 || delta.Revision.Era() < known.Era():
	case s.Arrives:
		m.apply(s.I, delta)
	default:
		m.inFlight[s.I] = append(m.inFlight[s.I], delta)
	}
}

// apply applies what mirror i reads and checks what it knows then.
func (m *model) apply(i int, delta Delta) {
	mirror := m.mirrors[i]
	before := maps.Clone(mirror.entries)
	mirror.Apply(0, delta)
	for key, entry := range before {
		if _, ok := mirror.entries[key]; !ok && mirror.isMember(key) {
			m.gone[i][key] = entry
		}
	}
	for key, entry := range mirror.entries {
		last, ok := m.gone[i][key]
		if !ok {
			continue
		}
		order, _ := mirror.compare(entry, last)
		assert.Assert(m.t, order > 0, "mirror %d at %v lists %s, which was removed", i, mirror.revision, entry.Value)
	}
	entry, _ := mirror.Entry(configKey)
	version, _ := strconv.Atoi(string(entry.Value))
	assert.Assert(m.t, version >= m.versions[i], "mirror %d at %v has version %d after %d", i, mirror.revision, version, m.versions[i])
	m.versions[i] = version
}

// TestMirrorModel guards against a mirror that differs for good from a store that comes back
// from copies, goes back to an older configuration or lists a removed node again. The steps are
// random; then each process that runs writes again, and all reads end.
func TestMirrorModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, store: kvfake.New(kvfake.Config{LongestWait: 1})}
		for i := range m.mirrors {
			m.mirrors[i], m.gone[i] = NewMirror("online/", compareVersions), make(map[string]kv.Entry)
		}
		m.writeConfig()
		m.saved = m.store.Copy()
		for _, s := range rapid.SliceOfN(modelSteps, 5, 60).Draw(t, "steps") {
			m.do(s)
		}
		m.writeConfig()
		for i, sequence := range m.sequences {
			if sequence > 0 {
				m.writeNode(i)
			} else {
				m.put(fmt.Sprint("online/", i), nil)
			}
		}
		for i, mirror := range m.mirrors {
			m.apply(i, m.since(mirror.Revision()))
			for _, delta := range m.inFlight[i] {
				m.apply(i, delta)
			}
			for j := range m.mirrors {
				m.read(modelStep{I: i, Arrives: true}, m.mirrors[j].Since(mirror.Revision()))
			}
			listed := m.since(0)
			assert.Equal(t, len(mirror.entries), len(listed.Entries), "mirror %d: %v", i, mirror.entries)
			for _, want := range listed.Entries {
				assert.Equal(t, string(mirror.entries[want.Key].Value), string(want.Value), "mirror %d", i)
			}
		}
	})
}
