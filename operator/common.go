package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"text/tabwriter"
	"time"

	"github.com/valyala/fasthttp"

	"auburngap/bundle"
)

// fetchTimeout limits the time of one request to a node.
const fetchTimeout = 3 * time.Second

// platformFlags holds the arguments of commands that use the platform.
type platformFlags struct {
	Platform netip.AddrPort `arg:"--platform,required,env:AUBURNGAP_PLATFORM" placeholder:"ADDRESS" help:"address of the platform's key-value service"`
}

func (f platformFlags) store(env Environment) *bundle.Store {
	return bundle.NewStore(bundle.StoreConfig{Client: env.Client(f.Platform), Now: env.Now, NewID: env.NewID})
}

// outputFlags holds the arguments of commands that can print JSON.
type outputFlags struct {
	JSON bool `arg:"--json" help:"print JSON"`
}

// print writes value as JSON if the JSON flag is set, otherwise as text.
func (f outputFlags) print(env Environment, value any, text func(io.Writer)) error {
	if !f.JSON {
		return printTable(env.Stdout, text)
	}
	encoder := json.NewEncoder(env.Stdout)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(value)
}

// printTable aligns the tab-separated columns of a text.
func printTable(out io.Writer, text func(io.Writer)) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	text(table)
	return table.Flush()
}

// printf prints to a table. The table's Flush returns the errors of writes.
func printf(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format, args...)
}

func readBundle(path string) (*bundle.Bundle, error) {
	source, err := os.ReadFile(path)
	if err != nil {
		return nil, ErrUsage.Wrap(err, "cannot read the bundle")
	}
	b, err := bundle.Parse(source)
	if err != nil {
		return nil, &fileError{path: path, err: err}
	}
	return b, nil
}

// fileError is an error about a file. Its text gives the file's path before each
// fault.
type fileError struct {
	path string
	err  error
}

// Error implements error.
func (e *fileError) Error() string {
	faults, ok := e.err.(*bundle.FaultsError)
	if !ok {
		return e.path + ": " + e.err.Error()
	}
	text := ""
	for i, fault := range faults.Faults {
		if i > 0 {
			text += "\n"
		}
		text += e.path + ":" + fault.String()
	}
	return text
}

// Unwrap returns the faults.
func (e *fileError) Unwrap() error { return e.err }

// Fetch returns the body of a GET on a node's control address.
func Fetch(ctx context.Context, node netip.AddrPort, path string) ([]byte, error) {
	deadline := time.Now().Add(fetchTimeout)
	if ctxDeadline, ok := ctx.Deadline(); ok && ctxDeadline.Before(deadline) {
		deadline = ctxDeadline
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + node.String() + path)
	if err := fasthttp.DoDeadline(req, resp, deadline); err != nil {
		return nil, ErrFailed.Wrap(err, "no answer from %s", node)
	}
	if resp.StatusCode() != http.StatusOK {
		return nil, ErrFailed.New("%s answered %d", node, resp.StatusCode())
	}
	return append([]byte(nil), resp.Body()...), nil
}

// loadHead returns the newest version with its bundle, or bundle.ErrNoBundle.
func loadHead(ctx context.Context, store *bundle.Store) (*bundle.Version, error) {
	head, err := store.Head(ctx)
	if err != nil {
		return nil, err
	}
	return store.Load(ctx, head.Version)
}
