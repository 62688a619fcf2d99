package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"auburngap/kv"
	"auburngap/kv/fake"
	"auburngap/operator"
	"auburngap/report"
	"auburngap/request"
)

// testCLI runs commands against a fake platform service with fixed times, IDs and
// random bytes, and records their output.
type testCLI struct {
	*testing.T
	service *fake.Service
	env     operator.Environment
	dir     string
	replace []string
	out     bytes.Buffer
}

func newTestCLI(t *testing.T) *testCLI {
	for _, name := range []string{"AUBURNGAP_PLATFORM", "AUBURNGAP_OPERATOR_KEY"} {
		t.Setenv(name, "") // restores the variable after the test
		assert.NilError(t, os.Unsetenv(name))
	}
	d := &testCLI{T: t, service: fake.New(fake.Config{}), dir: t.TempDir()}
	random := rand.NewChaCha8([32]byte{1})
	ids := 0
	d.env = operator.Environment{
		Client: func(netip.AddrPort) kv.Client { return d.service },
		Now:    func() time.Time { return time.Date(2027, 3, 1, 9, 0, 0, 0, time.UTC) },
		NewID: func() (uuid.UUID, error) {
			ids++
			return uuid.Parse(fmt.Sprintf("01945ca0-0000-7000-8000-%012d", ids))
		},
		Random: random,
		Fetch:  d.fetch,
	}
	d.replace = []string{d.dir + "/", ""}
	return d
}

func (d *testCLI) fetch(_ context.Context, node netip.AddrPort, path string) ([]byte, error) {
	answers := map[string]string{
		"127.0.0.1:1/status": `{"vm":"wdh-1","zone":"katutura","bundleVersion":2,"bundleVersions":{"wdh-1":2,"wdh-2":1}}`,
		"127.0.0.1:2/status": `{"vm":"wdh-3","zone":"windhoek-central","bundleVersion":2,"draining":true}`,
	}
	if answer, ok := answers[node.String()+path]; ok {
		return []byte(answer), nil
	}
	return nil, errors.New("no answer")
}

// run runs one command line, records it with its output and returns the exit code.
func (d *testCLI) run(line string) int {
	d.Helper()
	var commands struct{ operator.Commands } // embedded as in the program
	parser, err := arg.NewParser(arg.Config{Program: "auburngap"}, &commands)
	assert.NilError(d, err)
	line = strings.ReplaceAll(line, "DIR/", d.dir+"/")
	fmt.Fprintln(&d.out, "$ auburngap", line)
	assert.NilError(d, parser.Parse(strings.Fields(line)))
	env := d.env
	env.Stdout = &d.out
	handled, err := commands.Run(d.Context(), env)
	assert.Assert(d, handled)
	code := operator.ExitCode(err)
	if err != nil {
		fmt.Fprintf(&d.out, "%v\n[exit %d]\n", err, code)
	}
	return code
}

func (d *testCLI) golden(name string) {
	d.Helper()
	golden.Assert(d, strings.NewReplacer(d.replace...).Replace(d.out.String()), name)
}

const (
	firstID      = "01945ca0-0000-7000-8000-000000000001"
	secondID     = "01945ca0-0000-7000-8000-000000000002"
	thirdID      = "01945ca0-0000-7000-8000-000000000003"
	platformFlag = " --platform 127.0.0.1:9"
)

// writeFiles writes the keys of two operators, the demo site's bundle that names
// them, and variants of the bundle.
func (d *testCLI) writeFiles() {
	source, err := os.ReadFile("../deploy/windhoek/bundle.json")
	assert.NilError(d, err)
	text := string(source)
	for _, name := range []string{"ndapewa", "tuyeni"} {
		key, err := os.ReadFile("../deploy/windhoek/demo-operator-" + name + ".key")
		assert.NilError(d, err)
		assert.NilError(d, os.WriteFile(d.file(name+".key"), key, 0o600))
	}
	d.write("bundle.json", text)
	d.write("faulty.json", strings.Replace(text, `"rate": 500`, `"rate": 0`, 1))
	d.write("more.json", strings.Replace(text, `"rate": 500`, `"rate": 750`, 1))
}

func (d *testCLI) file(name string) string { return filepath.Join(d.dir, name) }

func (d *testCLI) write(name, text string) {
	assert.NilError(d, os.WriteFile(d.file(name), []byte(text), 0o600))
}

func TestFirstBundle(t *testing.T) {
	d := newTestCLI(t)
	assert.Equal(t, d.run("key-pair --name tuyeni --out DIR/tuyeni.key"), operator.ExitOK)
	public := strings.Fields(d.out.String())[7]
	assert.Equal(t, d.run("bundle init --name tuyeni --public-key "+public+" DIR/new.json"), operator.ExitOK)
	assert.Equal(t, d.run("bundle init --name tuyeni --public-key "+public+" DIR/new.json"), operator.ExitFaults)
	assert.Equal(t, d.run("bundle check DIR/new.json"), operator.ExitOK)
	assert.Equal(t, d.run("bundle status"+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle show"+platformFlag), operator.ExitFailed)
	assert.Equal(t, d.run("bundle propose --author tuyeni DIR/new.json"+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle approve --key DIR/tuyeni.key "+firstID+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle rollout "+firstID+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("key issue --workspace first --id one --rollout --key DIR/tuyeni.key"+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("key withdraw --id one --rollout --json --key DIR/tuyeni.key"+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("key withdraw --id one --key DIR/tuyeni.key"+platformFlag), operator.ExitFailed)
	assert.Equal(t, d.run("bundle history"+platformFlag), operator.ExitOK)
	d.golden("first-bundle.golden")
}

func TestTwoOperators(t *testing.T) {
	d := newTestCLI(t)
	d.writeFiles()
	assert.Equal(t, d.run("bundle check DIR/faulty.json"), operator.ExitFaults)
	assert.Equal(t, d.run("bundle check --json DIR/faulty.json"), operator.ExitFaults)
	assert.Equal(t, d.run("bundle propose --author ndapewa DIR/bundle.json"+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle approve --key DIR/ndapewa.key "+firstID+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle rollout "+firstID+platformFlag), operator.ExitFailed)
	assert.Equal(t, d.run("bundle approve --key DIR/tuyeni.key "+firstID+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle rollout "+firstID+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle diff DIR/more.json"+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle diff --json DIR/more.json DIR/bundle.json"), operator.ExitOK)
	assert.Equal(t, d.run("bundle propose --author ndapewa --note dailies DIR/more.json"+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("key withdraw --id desk-demo --rollout --key DIR/tuyeni.key"+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle status"+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle diff --proposal "+thirdID+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle approve --key DIR/ndapewa.key "+thirdID+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle rollout "+thirdID+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle approve --key DIR/ndapewa.key "+secondID+platformFlag), operator.ExitConflict)
	assert.Equal(t, d.run("bundle diff --proposal "+secondID+platformFlag), operator.ExitConflict)
	assert.Equal(t, d.run("bundle diff --proposal "+secondID), operator.ExitFaults)
	assert.Equal(t, d.run("bundle propose --author ndapewa --base 1 DIR/more.json"+platformFlag), operator.ExitConflict)
	assert.Equal(t, d.run("status --node 127.0.0.1:1 --node 127.0.0.1:2 --node 127.0.0.1:3"+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("status --json --node 127.0.0.1:1 --node 127.0.0.1:2"), operator.ExitOK)
	d.golden("two-operators.golden")
}

func TestLostAnswersAndOutage(t *testing.T) {
	d := newTestCLI(t)
	d.writeFiles()
	d.service.SetFaults(fake.Faults{LoseAnswers: 3})
	assert.Equal(t, d.run("bundle propose --author ndapewa DIR/bundle.json"+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle approve --key DIR/ndapewa.key "+firstID+platformFlag), operator.ExitOK)
	assert.Equal(t, d.run("bundle approve --key DIR/tuyeni.key "+firstID+platformFlag), operator.ExitOK)
	d.service.SetFaults(fake.Faults{LoseAnswers: 2})
	assert.Equal(t, d.run("bundle rollout "+firstID+platformFlag), operator.ExitOK)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	d.service.SetFaults(fake.Faults{Down: true})
	handled, err := (&operator.Commands{Bundle: &operator.BundleCommand{Rollout: &operator.BundleRollout{}}}).Run(ctx, d.env)
	assert.Assert(t, handled)
	assert.Equal(t, operator.ExitCode(err), operator.ExitUnavailable)
}

func TestReport(t *testing.T) {
	d := newTestCLI(t)
	start := time.Date(2027, 3, 1, 9, 0, 0, 0, time.UTC)
	recorder := report.NewRecorder(report.Config{VM: "wdh-1", Zone: "katutura"})
	for i := range 100 {
		recorder.Record(report.Sample{
			Service: "rulings-archive", Workspace: "desk", Priority: 1, WithinRate: true,
			Status: 200, Outcome: request.Answered, Latency: time.Duration(i+1) * time.Millisecond,
		}, start.Add(time.Duration(i)*time.Second))
	}
	d.env.Fetch = func(context.Context, netip.AddrPort, string) ([]byte, error) {
		return []byte(marshal(t, recorder.Snapshot(start.Add(2*time.Minute)))), nil
	}
	assert.Equal(t, d.run("report --node 127.0.0.1:1 --window 30s --window 1m"), operator.ExitOK)
	assert.Equal(t, d.run("report --node 127.0.0.1:1 --format json"), operator.ExitOK)
	assert.Equal(t, d.run("report --node 127.0.0.1:1 --format html --out DIR/report.html"), operator.ExitOK)
	assert.Equal(t, d.run("report --node 127.0.0.1:1 --format pdf"), operator.ExitFaults)
	assert.Equal(t, d.run("report"), operator.ExitFaults)
	d.golden("report.golden")
	page, err := os.ReadFile(d.file("report.html"))
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(page, []byte("<svg")))
}

func TestHelp(t *testing.T) {
	var out bytes.Buffer
	for _, words := range [][]string{{"bundle"}, {"bundle", "approve"}, {"key"}, {"key", "issue"}, {"key-pair"}, {"status"}, {"report"}} {
		var commands operator.Commands
		parser, err := arg.NewParser(arg.Config{Program: "auburngap"}, &commands)
		assert.NilError(t, err)
		assert.NilError(t, parser.WriteHelpForSubcommand(&out, words...))
		fmt.Fprintf(&out, "\n%s\n\n", operator.Examples(words[0]))
	}
	golden.Assert(t, out.String(), "help.golden")
}

func TestGroupWithoutCommand(t *testing.T) {
	d := newTestCLI(t)
	assert.Equal(t, d.run("bundle"), operator.ExitFaults)
	handled, err := (&operator.Commands{}).Run(t.Context(), d.env)
	assert.Assert(t, !handled)
	assert.NilError(t, err)
}

func TestExitCodesAreDocumented(t *testing.T) {
	page, err := os.ReadFile("../docs/OPERATORS.md")
	assert.NilError(t, err)
	for _, code := range []int{operator.ExitOK, operator.ExitFailed, operator.ExitFaults, operator.ExitConflict, operator.ExitUnavailable} {
		assert.Assert(t, strings.Contains(string(page), fmt.Sprintf("| %d |", code)))
	}
}

func marshal(t *testing.T, value any) string {
	encoded, err := json.Marshal(value)
	assert.NilError(t, err)
	return string(encoded)
}
