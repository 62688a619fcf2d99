package operator

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"os"
	"time"

	"auburngap/page"
	"auburngap/report"
)

// reportPath is the path of a node's report snapshot on its control address.
const reportPath = "/report"

// The formats of a report.
const (
	formatText = "text"
	formatJSON = "json"
	formatHTML = "html"
)

// ReportCommand is "auburngap report": it merges the snapshots of nodes and files
// into one report.
type ReportCommand struct {
	Node   []netip.AddrPort `arg:"--node,separate" placeholder:"ADDRESS" help:"control address of a node to ask; may stand more than once"`
	File   []string         `arg:"--file,separate" placeholder:"FILE" help:"a snapshot in a file; may stand more than once"`
	Window []time.Duration  `arg:"--window,separate" placeholder:"DURATION" help:"the time before the newest snapshot; may stand more than once; 1m and 10m where none is named"`
	Format string           `arg:"--format" default:"text" placeholder:"FORMAT" help:"text, json or html"`
	Out    string           `arg:"--out" placeholder:"FILE" help:"where to write; stdout where none is named"`
}

// Run implements command.
func (c *ReportCommand) Run(ctx context.Context, env Environment) error {
	snapshots, err := c.snapshots(ctx, env)
	if err != nil {
		return err
	}
	if len(snapshots) == 0 {
		return ErrUsage.New(textNoNodes)
	}
	merged := report.Merge(snapshots)
	summary := merged.Summarize(c.Window, report.DefaultObjectives())
	if c.Out == "" {
		return c.write(env.Stdout, summary)
	}
	file, err := os.Create(c.Out)
	if err != nil {
		return ErrUsage.Wrap(err, "cannot write %s", c.Out)
	}
	if err := c.write(file, summary); err != nil {
		_ = file.Close() // the write error is more informative
		return err
	}
	return file.Close()
}

func (c *ReportCommand) write(out io.Writer, summary report.Summary) error {
	switch c.Format {
	case formatText:
		return summary.WriteText(out)
	case formatHTML:
		return page.Write(out, summary)
	case formatJSON:
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(summary)
	default:
		return ErrUsage.New("no format %q; allowed are text, json and html", c.Format)
	}
}

func (c *ReportCommand) snapshots(ctx context.Context, env Environment) ([]report.Snapshot, error) {
	var snapshots []report.Snapshot
	for _, path := range c.File {
		content, err := os.ReadFile(path)
		if err != nil {
			return nil, ErrUsage.Wrap(err, "cannot read the snapshot")
		}
		if snapshots, err = appendSnapshot(snapshots, content); err != nil {
			return nil, ErrUsage.Wrap(err, "%s", path)
		}
	}
	for _, node := range c.Node {
		content, err := env.Fetch(ctx, node, reportPath)
		if err != nil {
			return nil, err
		}
		if snapshots, err = appendSnapshot(snapshots, content); err != nil {
			return nil, ErrFailed.Wrap(err, "%s", node)
		}
	}
	return snapshots, nil
}

func appendSnapshot(snapshots []report.Snapshot, content []byte) ([]report.Snapshot, error) {
	var snapshot report.Snapshot
	if err := json.Unmarshal(content, &snapshot); err != nil {
		return nil, err
	}
	return append(snapshots, snapshot), nil
}
