package operator

import (
	"context"
	"io"

	"github.com/google/uuid"

	"auburngap/bundle"
)

// BundleRollout is "auburngap bundle rollout": it makes a signed proposal the
// newest version.
type BundleRollout struct {
	platformFlags
	outputFlags
	ID uuid.UUID `arg:"positional,required" placeholder:"ID"`
}

// Run implements command.
func (c *BundleRollout) Run(ctx context.Context, env Environment) error {
	record, err := c.store(env).Rollout(ctx, c.ID)
	if err != nil {
		return err
	}
	return c.print(env, newVersionAnswer(record), func(out io.Writer) {
		printf(out, textRolledOut, record.Header.Version)
	})
}

// versionAnswer is the JSON output of a version.
type versionAnswer struct {
	Version  uint64   `json:"version"`
	Proposal string   `json:"proposal"`
	Root     string   `json:"root"`
	SignOffs []string `json:"signOffs"`
	Changed  []string `json:"changed,omitempty"`
}

func newVersionAnswer(record bundle.Record) versionAnswer {
	return versionAnswer{
		Version:  record.Header.Version,
		Proposal: record.Header.Proposal.String(),
		Root:     record.Header.Root.String(),
		SignOffs: signerNames(record.SignOffs),
		Changed:  record.Delta.Sections(),
	}
}
