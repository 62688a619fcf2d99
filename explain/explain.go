// Package explain reconstructs from the logs of nodes what happened to one
// request: what each node decided about it, in order of time, and what caused its
// end.
//
// # Usage
//
//	logs := &explain.Logs{}
//	err := logs.Read(file)                 // once for each node's log
//	story, err := logs.Story("fe35aefbce63fb73")
//	fmt.Print(story)
//
// An ID is that of a caller's attempt, or that of the request, which is the same
// at every hop. The request's downstream calls are found by the request's ID. The
// story also holds the state that the involved nodes logged at that time: the
// configuration, the source of their view, their backend server, starts and stops.
// Clocks of VMs may differ a little, so lines of different VMs may be out of order.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

const (
	// maxLineBytes bounds the length of a log line.
	maxLineBytes = 1 << 20
	// contextDuration is how long before a request's first line the lines of its
	// nodes are included.
	contextDuration = 5 * time.Second
	// noRequest stands for the request ID in the lines of requests that were
	// refused before they had an ID.
	noRequest = "00000000-0000-0000-0000-000000000000"
)

var (
	errs = errorx.NewNamespace("explain")
	// ErrUnknown means that no line has the ID.
	ErrUnknown = errs.NewType("unknown")
	// ErrRead means that a log cannot be read.
	ErrRead = errs.NewType("read")
)

// The messages of log lines about a request, and of lines that count omitted ones.
const (
	messageAnswered = "caller: answered"
	messageRefused  = "caller: refused"
	messageNoAnswer = "route: no answer"
	messageServed   = "route: answered"
	messageLeftOut  = "logs: lines left out"
)

// causeBackendFailed is the cause in the logs when a backend server broke the
// connection or failed.
const causeBackendFailed = "backendFailed"

// line is a line of a node's log, with the fields that a story uses.
type line struct {
	Time       time.Time `json:"ts"`
	Message    string    `json:"msg"`
	VM         string    `json:"vm"`
	Attempt    string    `json:"attempt"`
	Request    string    `json:"request"`
	Route      string    `json:"route"`
	Service    string    `json:"service"`
	Workspace  string    `json:"workspace"`
	Priority   int       `json:"priority"`
	Depth      int       `json:"depth"`
	Version    uint64    `json:"version"`
	ConfigAge  string    `json:"wordAge"`
	Took       string    `json:"took"`
	Status     int       `json:"status"`
	Cause      string    `json:"cause"`
	Outcome    string    `json:"outcome"`
	RetryAfter string    `json:"retryAfter"`
	// ByBackend reports whether the backend server itself refused or failed.
	ByBackend bool   `json:"byBackend"`
	Left      string `json:"left"`
	Next      string `json:"next"`
	// Number is the number of the attempt that was answered.
	Number   int    `json:"number"`
	Target   string `json:"target"`
	InFlight int    `json:"inFlight"`
	// Limit is zero if the server's load is not known.
	Limit int `json:"limit"`
	// Rate and Burst are the workspace's limit. Tokens, Portion and PortionAge are what the
	// node had of it, and DecidedBy which nodes had no token.
	Rate       float64 `json:"rate"`
	Burst      float64 `json:"burst"`
	Tokens     float64 `json:"tokens"`
	Portion    float64 `json:"portion"`
	PortionAge string  `json:"portionAge"`
	DecidedBy  string  `json:"decidedBy"`
	// From and Age are the source of a node's view and the age of the view.
	From  string `json:"from"`
	Age   string `json:"age"`
	Error string `json:"error"`
}

// Logs holds the lines of several nodes. The zero Logs is empty.
type Logs struct {
	lines []line
	// unreadable counts the lines that are not lines of a node's log.
	unreadable int
}

// Read adds the lines of a log. Lines that cannot be parsed are counted and
// skipped. Text before the first brace of a line is skipped, too.
func (l *Logs) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		start := bytes.IndexByte(scanner.Bytes(), '{')
		var parsed line
		if start < 0 || json.Unmarshal(scanner.Bytes()[start:], &parsed) != nil || parsed.Message == "" {
			l.unreadable++
			continue
		}
		l.lines = append(l.lines, parsed)
	}
	if err := scanner.Err(); err != nil {
		return ErrRead.Wrap(err, "read log")
	}
	return nil
}

// Story describes in sentences what happened to a request. It returns ErrUnknown
// if no line has the ID.
func (l *Logs) Story(id string) (string, error) {
	ofRequest := l.requestLines(id)
	if len(ofRequest) == 0 {
		return "", ErrUnknown.New("no line has the ID %s; lines of successful requests may have been dropped by sampling", id)
	}
	return render(ofRequest, l.nodeLines(ofRequest), l.unreadable), nil
}

// requestLines returns the lines of a request and of the calls made for it.
func (l *Logs) requestLines(id string) []line {
	requests := map[string]bool{id: true}
	for _, entry := range l.lines {
		if entry.Attempt == id && entry.Request != noRequest {
			requests[entry.Request] = true
		}
	}
	delete(requests, noRequest)
	return l.filter(func(entry line) bool {
		return entry.Attempt == id || entry.Request != "" && requests[entry.Request]
	})
}

// nodeLines returns the lines that the nodes involved in the request logged about
// their own state at that time.
func (l *Logs) nodeLines(ofRequest []line) []line {
	involved := make(map[string]bool)
	for _, entry := range ofRequest {
		involved[entry.VM] = true
		involved[entry.Target] = true
	}
	first, last := ofRequest[0].Time.Add(-contextDuration), ofRequest[len(ofRequest)-1].Time
	return l.filter(func(entry line) bool {
		isNodeLine := entry.Attempt == "" && entry.Request == ""
		return isNodeLine && involved[entry.VM] && entry.Message != messageLeftOut && !entry.Time.Before(first) && !entry.Time.After(last)
	})
}

// filter returns the matching lines, ordered by time and then by VM.
func (l *Logs) filter(matches func(line) bool) []line {
	var matching []line
	for _, entry := range l.lines {
		if matches(entry) {
			matching = append(matching, entry)
		}
	}
	slices.SortStableFunc(matching, func(a, b line) int {
		if order := a.Time.Compare(b.Time); order != 0 {
			return order
		}
		return strings.Compare(a.VM, b.VM)
	})
	return matching
}
