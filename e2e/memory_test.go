package e2e

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
	"gotest.tools/v3/assert"
)

// keepAliveConnections is the number of idle connections of callers.
const keepAliveConnections = 10_000

// TestMemory prints a node's resident memory when it is idle, and with many
// idle connections of callers that have each been served once. It runs on
// demand: AUBURNGAP_MEASURE=1.
func TestMemory(t *testing.T) {
	if os.Getenv("AUBURNGAP_MEASURE") == "" {
		t.Skip("set AUBURNGAP_MEASURE=1 to measure")
	}
	w := newTestSite(t, chainBundle())
	node := w.node("g")
	t.Logf("idle: %.1f MB resident, %s", residentOf(t, node.ID()), statusOf(t, node.ID()))
	for i := range keepAliveConnections {
		conn, err := net.Dial("tcp", node.Settings.CallerAddress.String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		_, err = fmt.Fprintf(conn, "GET /open HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		var response fasthttp.Response
		assert.NilError(t, response.Read(bufio.NewReader(conn)))
		if i%1000 == 999 {
			t.Logf("%d connections: %.1f MB resident", i+1, residentOf(t, node.ID()))
		}
	}
	for range 4 {
		time.Sleep(5 * time.Second)
		t.Logf("then: %.1f MB resident", residentOf(t, node.ID()))
	}
	t.Log(statusOf(t, node.ID()))
}

// residentOf returns a process's resident memory in MB.
func residentOf(t *testing.T, id int) float64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", id))
	assert.NilError(t, err)
	var size, resident int64
	_, err = fmt.Sscan(string(data), &size, &resident)
	assert.NilError(t, err)
	return float64(resident*int64(os.Getpagesize())) / (1 << 20)
}

// statusOf returns the memory figures of a process from /proc.
func statusOf(t *testing.T, id int) string {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", id))
	assert.NilError(t, err)
	var lines []string
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.HasPrefix(line, "Rss") {
			lines = append(lines, strings.Join(strings.Fields(line), " "))
		}
	}
	return strings.Join(lines, ", ")
}
