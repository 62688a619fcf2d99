package operator

import (
	"context"
	"io"
	"net/netip"

	"github.com/google/uuid"

	"auburngap/bundle"
)

// BundleDiff is "auburngap bundle diff": it prints the changes of a bundle
// relative to another file, or the changes of a bundle or a proposal relative to the
// platform's newest version.
type BundleDiff struct {
	outputFlags
	Platform netip.AddrPort `arg:"--platform,env:AUBURNGAP_PLATFORM" placeholder:"ADDRESS" help:"address of the platform's key-value service"`
	Proposal uuid.UUID      `arg:"--proposal" placeholder:"ID" help:"print what a proposal changes, in place of a file"`
	File     string         `arg:"positional" placeholder:"FILE"`
	From     string         `arg:"positional" placeholder:"OLDFILE" help:"compare with this file, not with the newest version"`
}

// Run implements command.
func (c *BundleDiff) Run(ctx context.Context, env Environment) error {
	changes, err := c.changes(ctx, env)
	if err != nil {
		return err
	}
	return c.print(env, changes, func(out io.Writer) { printChanges(out, changes) })
}

func (c *BundleDiff) changes(ctx context.Context, env Environment) ([]bundle.Change, error) {
	switch {
	case c.Proposal != uuid.Nil && c.Platform.IsValid():
		store := platformFlags{Platform: c.Platform}.store(env)
		proposal, err := store.Proposal(ctx, c.Proposal)
		if err != nil {
			return nil, err
		}
		return store.Changes(ctx, proposal)
	case c.File == "":
		return nil, ErrUsage.New("name a file, or --proposal and the platform")
	}
	to, err := readSections(c.File)
	if err != nil {
		return nil, err
	}
	from, err := c.oldSections(ctx, env)
	if err != nil {
		return nil, err
	}
	return bundle.Diff(from, to), nil
}

func (c *BundleDiff) oldSections(ctx context.Context, env Environment) (bundle.Sections, error) {
	if c.From != "" {
		return readSections(c.From)
	}
	if !c.Platform.IsValid() {
		return bundle.Sections{}, ErrUsage.New("name a second file, or the platform with --platform")
	}
	version, err := loadHead(ctx, platformFlags{Platform: c.Platform}.store(env))
	if err != nil {
		return bundle.Sections{}, err
	}
	return version.Sections, nil
}

func readSections(path string) (bundle.Sections, error) {
	b, err := readBundle(path)
	if err != nil {
		return bundle.Sections{}, err
	}
	return bundle.Split(b)
}

func printChanges(out io.Writer, changes []bundle.Change) {
	if len(changes) == 0 {
		printf(out, textNoDifference)
	}
	for _, change := range changes {
		printf(out, "%s\n", change)
	}
}
