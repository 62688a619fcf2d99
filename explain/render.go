package explain

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"
)

// render writes the lines of a request and of its nodes as sentences, followed by
// the cause of the request's end.
func render(ofRequest, ofNodes []line, unreadable int) string {
	var out strings.Builder
	start := ofRequest[0].Time
	all := append(slices.Clone(ofNodes), ofRequest...)
	slices.SortStableFunc(all, func(a, b line) int { return a.Time.Compare(b.Time) })
	for _, entry := range all {
		fmt.Fprintf(&out, "%+8.3f s  %s: %s\n", entry.Time.Sub(start).Seconds(), entry.VM, sentence(entry))
	}
	fmt.Fprintf(&out, "\nCause: %s\n", rootCause(ofRequest, ofNodes))
	if unreadable > 0 {
		fmt.Fprintf(&out, "Lines of the logs that could not be read: %d.\n", unreadable)
	}
	return out.String()
}

// sentence describes a log line in words.
func sentence(entry line) string {
	switch entry.Message {
	case messageAnswered:
		return fmt.Sprintf("%s was answered with status %d after %s", subject(entry), entry.Status, entry.Took)
	case messageRefused:
		text := fmt.Sprintf("%s was refused after %s: %s, %s", subject(entry), entry.Took, entry.Cause, outcome(entry.Outcome))
		if entry.RetryAfter != "" && entry.RetryAfter != "0s" {
			text += ", to come back after " + entry.RetryAfter
		}
		return text + fmt.Sprintf(" (configuration %d, word of the store %s old)", entry.Version, entry.ConfigAge)
	case messageNoAnswer:
		return noAnswerSentence(entry)
	case messageServed:
		return fmt.Sprintf("a call to %s was answered by the backend server on %s with status %d at attempt %d, %s left", entry.Service, entry.Target, entry.Status, entry.Number, entry.Left)
	}
	text := entry.Message
	if entry.From != "" {
		text += " from " + entry.From
	}
	if entry.Age != "" {
		text += ", the view " + entry.Age + " old"
	}
	if entry.Error != "" {
		text += ": " + entry.Error
	}
	return text
}

// subject names the request or call that a line is about.
func subject(entry line) string {
	if entry.Depth > 0 {
		return fmt.Sprintf("a call to %s on route %s, %d deep,", entry.Service, entry.Route, entry.Depth)
	}
	text := "the caller's request"
	if entry.Route != "" {
		text += fmt.Sprintf(" to %s on route %s, priority %d,", entry.Service, entry.Route, entry.Priority)
	}
	if entry.Workspace != "" {
		text += " of workspace " + entry.Workspace
	}
	return text
}

func noAnswerSentence(entry line) string {
	target := "no backend server"
	if entry.Target != "" {
		target = entry.Target
	}
	ending := "brought no answer of " + target + ": " + entry.Cause
	if entry.ByBackend && entry.Cause == causeBackendFailed {
		ending = "was answered with a failure by " + target
	}
	text := fmt.Sprintf("a call to %s %s, %s, %s left, %s", entry.Service, ending, outcome(entry.Outcome), entry.Left, entry.Next)
	if entry.Limit > 0 {
		text += fmt.Sprintf(" (%d calls there, limit %d)", entry.InFlight, entry.Limit)
	}
	return text
}

func outcome(name string) string {
	if name == "notRun" {
		return "not run"
	}
	return "outcome " + name
}

// rootCause describes the failure that caused the others: a call that fails deep
// in the call chain fails all calls above it.
func rootCause(ofRequest, ofNodes []line) string {
	for _, isCause := range []func(line) bool{isFailedCall, isRefusal, isServerError, isGivenUp} {
		if i := slices.IndexFunc(ofRequest, isCause); i >= 0 {
			return describeCause(ofRequest[i], ofNodes)
		}
	}
	return "none: no line tells of a failure."
}

// isFailedCall reports whether a call failed by itself. A cancelled call did not:
// its caller, or the request above it, had left.
func isFailedCall(entry line) bool { return isGivenUp(entry) && entry.Cause != "cancelled" }

func isRefusal(entry line) bool { return entry.Message == messageRefused && entry.Cause != "cancelled" }

func isServerError(entry line) bool {
	return entry.Message == messageServed && entry.Status >= http.StatusInternalServerError
}

func isGivenUp(entry line) bool { return entry.Message == messageNoAnswer && entry.Next == "given up" }

func describeCause(entry line, ofNodes []line) string {
	switch entry.Message {
	case messageNoAnswer:
		return describeFailedCall(entry, ofNodes)
	case messageServed:
		return fmt.Sprintf("the backend server of %s on %s answered with status %d.", entry.Service, entry.Target, entry.Status)
	}
	return describeRefusal(entry, ofNodes)
}

func describeFailedCall(entry line, ofNodes []line) string {
	switch {
	case entry.Cause == "overload" && entry.ByBackend && entry.InFlight >= entry.Limit:
		return fmt.Sprintf("the backend server on %s, which was full, refused a call to %s (%d calls there, limit %d), and the bound on repeats allowed no other try.", entry.Target, entry.Service, entry.InFlight, entry.Limit)
	case entry.Cause == "overload" && entry.ByBackend:
		return fmt.Sprintf("the backend server on %s refused a call to %s though it had room (%d of %d), and the bound on repeats allowed no other try.", entry.Target, entry.Service, entry.InFlight, entry.Limit)
	case entry.Cause == "overload" || entry.Cause == "deadline" && entry.Outcome == "notRun":
		return fmt.Sprintf("the queue of %s on %s was full, or the call could not be served in its time (%d calls there, limit %d).", entry.Service, entry.Target, entry.InFlight, entry.Limit)
	case entry.Cause == "deadline":
		return fmt.Sprintf("the time of a call to %s on %s ended before its answer.", entry.Service, entry.Target)
	case entry.Cause == "cancelled":
		return fmt.Sprintf("who waited for a call to %s left: the caller, or the request above it.", entry.Service)
	case entry.Cause == "noBackend":
		return fmt.Sprintf("no backend server of %s could take the call.", entry.Service)
	case entry.Cause == causeBackendFailed:
		return fmt.Sprintf("a call to %s was sent to %s and its answer never came%s.", entry.Service, entry.Target, describeRestart(entry, ofNodes))
	}
	return fmt.Sprintf("a call to %s failed: %s.", entry.Service, entry.Cause)
}

// describeRestart describes a stop or start of the node whose backend server a
// call was sent to. It returns an empty text if none was logged.
func describeRestart(entry line, ofNodes []line) string {
	for _, other := range ofNodes {
		if other.VM == entry.Target && strings.HasPrefix(other.Message, "node: ") {
			return fmt.Sprintf("; %s logged %q %s before", other.VM, other.Message, entry.Time.Sub(other.Time).Round(time.Millisecond))
		}
	}
	return ""
}

// describeRate says which nodes had no token for a request.
func describeRate(entry line) string {
	text := fmt.Sprintf("workspace %s had spent its rate", entry.Workspace)
	if entry.DecidedBy == "" {
		return text + "."
	}
	decided := map[string]string{
		"collector": "the node that collects its tokens had none",
		"owners":    "none of the nodes that own its tokens gave one",
		"thisNode":  "the node had none and could ask no other",
	}[entry.DecidedBy]
	return fmt.Sprintf("%s of %g/s (burst %g): %s. %s held %.2f tokens and owned %.0f%% of the rate, for %s.",
		text, entry.Rate, entry.Burst, decided, entry.VM, entry.Tokens, 100*entry.Portion, entry.PortionAge)
}

func describeRefusal(entry line, ofNodes []line) string {
	switch entry.Cause {
	case "overload":
		return fmt.Sprintf("%s held the request back at its entry, as a service on its way was full.", entry.VM)
	case "rate":
		return describeRate(entry)
	case "unknownKey":
		return fmt.Sprintf("configuration %d has no such key.", entry.Version)
	case "noRoute":
		return fmt.Sprintf("configuration %d has no route for the host and path.", entry.Version)
	case "starting":
		return fmt.Sprintf("%s had no configuration yet.", entry.VM)
	case "staleBundle":
		return fmt.Sprintf("%s had no word of the store for %s and no longer trusted keys%s.", entry.VM, entry.ConfigAge, describeLostSource(entry, ofNodes))
	}
	return fmt.Sprintf("%s refused it: %s.", entry.VM, entry.Cause)
}

// describeLostSource names the source of its view that did not answer a node. It
// returns an empty text if none was logged.
func describeLostSource(entry line, ofNodes []line) string {
	for _, other := range ofNodes {
		if other.VM == entry.VM && other.Message == "roster: no answer" {
			return fmt.Sprintf("; %s had not answered it", other.From)
		}
	}
	return ""
}
