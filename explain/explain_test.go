package explain

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// TestStories checks the stories of three kinds of failed request, from lines that
// nodes logged.
func TestStories(t *testing.T) {
	cases := []struct{ name, id string }{
		{"overload", "019f41eb-d51f-782a-82da-e66169a2ee40"},
		{"lost", "fc326ea8882c7444"},
		{"stale", "9b769af4c0c68c40"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			logs := &Logs{}
			file, err := os.Open("testdata/" + c.name + ".log")
			assert.NilError(t, err)
			defer file.Close()
			assert.NilError(t, logs.Read(file))
			story, err := logs.Story(c.id)
			assert.NilError(t, err)
			golden.Assert(t, story, c.name+".golden")
		})
	}
}

// TestCauses checks which cause is named for a request's end.
func TestCauses(t *testing.T) {
	const start = `{"ts":"2026-01-01T00:00:00Z","vm":"vm-1","attempt":"a1","request":"r1",`
	cases := []struct{ name, lines, want string }{
		{"refused with room", start + `"msg":"route: no answer","service":"tracking","cause":"overload","byBackend":true,"next":"given up","target":"vm-2","inFlight":2,"limit":10}`, "though it had room"},
		{"dropped from the queue as a slot became free", start + `"msg":"route: no answer","service":"tracking","cause":"overload","byBackend":false,"next":"given up","target":"vm-2","inFlight":7,"limit":8}`, "the queue of tracking on vm-2 was full"},
		{"refused by a full server", start + `"msg":"route: no answer","service":"tracking","cause":"overload","byBackend":true,"next":"given up","target":"vm-2","inFlight":10,"limit":10}`, "the backend server on vm-2, which was full, refused a call to tracking"},
		{"no time left in the queue", start + `"msg":"route: no answer","service":"tracking","cause":"deadline","outcome":"notRun","next":"given up","target":"vm-2","inFlight":30,"limit":8}`, "the queue of tracking on vm-2 was full, or the call could not be served in its time (30 calls there, limit 8)"},
		{"held back", start + `"msg":"caller: refused","cause":"overload"}`, "held the request back at its entry"},
		{"over the rate", start + `"msg":"caller: refused","cause":"rate","workspace":"school"}`, "workspace school had spent its rate"},
		{"over the rate, decided elsewhere", start + `"msg":"caller: refused","cause":"rate","workspace":"school","rate":11,"burst":12,"tokens":0.25,"portion":0.5,"portionAge":"9s","decidedBy":"collector"}`, "spent its rate of 11/s (burst 12): the node that collects its tokens had none. vm-1 held 0.25 tokens and owned 50% of the rate, for 9s"},
		{"withdrawn key", start + `"msg":"caller: refused","cause":"unknownKey","version":7}`, "configuration 7 has no such key"},
		{"answered by another server", start + `"msg":"route: no answer","cause":"overload","next":"sent again"}` + "\n" + start + `"msg":"caller: answered","status":200}`, "none"},
		{"a server failed by itself", start + `"msg":"route: answered","service":"ledger","status":500,"target":"vm-2"}` + "\n" + start + `"msg":"route: answered","service":"orders","status":502,"target":"vm-3"}`, "the backend server of ledger on vm-2 answered with status 500"},
		{"the upstream call was given up first", start + `"msg":"route: no answer","service":"ledger","cause":"cancelled","next":"given up"}` + "\n" + start + `"msg":"route: no answer","service":"orders","cause":"deadline","next":"given up","target":"vm-3"}`, "the time of a call to orders on vm-3 ended"},
		{"the node was restarted", `{"ts":"2025-12-31T23:59:59Z","vm":"vm-2","msg":"node: started"}` + "\n" + start + `"msg":"route: no answer","service":"orders","cause":"backendFailed","next":"given up","target":"vm-2"}`, `vm-2 logged "node: started" 1s before`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			logs := &Logs{}
			assert.NilError(t, logs.Read(strings.NewReader(c.lines)))
			story, err := logs.Story("a1")
			assert.NilError(t, err)
			_, cause, _ := strings.Cut(story, "\nCause: ")
			assert.Assert(t, strings.Contains(cause, c.want), "%s", cause)
		})
	}
}

// TestFailedAnswers checks that the story distinguishes a server that answered with
// a failure from one that did not answer.
func TestFailedAnswers(t *testing.T) {
	const line = `{"vm":"vm-1","request":"r1","attempt":"a1","msg":"route: no answer","service":"orders","cause":"backendFailed","byBackend":%t,"target":"vm-2","next":"sent again"}`
	for byBackend, want := range map[bool]string{
		true:  "a call to orders was answered with a failure by vm-2",
		false: "a call to orders brought no answer of vm-2: backendFailed",
	} {
		logs := &Logs{}
		assert.NilError(t, logs.Read(strings.NewReader(fmt.Sprintf(line, byBackend))))
		story, err := logs.Story("a1")
		assert.NilError(t, err)
		assert.Assert(t, strings.Contains(story, want), "%s", story)
	}
}

// TestUnknown checks the error for an ID that no line has, and for the placeholder ID
// in lines of requests that were refused before they had an ID.
func TestUnknown(t *testing.T) {
	logs := &Logs{}
	assert.NilError(t, logs.Read(strings.NewReader(`{"msg":"caller: refused","attempt":"a1","request":"`+noRequest+`"}`)))
	_, err := logs.Story("a2")
	assert.Assert(t, errorx.IsOfType(err, ErrUnknown))
	_, err = logs.Story(noRequest)
	assert.Assert(t, errorx.IsOfType(err, ErrUnknown))
}

func FuzzRead(f *testing.F) {
	f.Add(`{"msg":"caller: refused","attempt":"a","request":"r","depth":-1}`)
	f.Add(`1.5 vm-1 {"msg":`)
	f.Fuzz(func(t *testing.T, text string) {
		logs := &Logs{}
		if err := logs.Read(strings.NewReader(text)); err != nil {
			t.Skip()
		}
		_, err := logs.Story("a")
		assert.Assert(t, err == nil || errorx.IsOfType(err, ErrUnknown))
	})
}
