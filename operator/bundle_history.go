package operator

import (
	"context"
	"io"
	"strings"
)

// BundleHistory is "auburngap bundle history": it lists the versions, the newest
// first.
type BundleHistory struct {
	platformFlags
	outputFlags
	Count uint64 `arg:"--count" default:"10" placeholder:"NUMBER" help:"how many versions"`
}

// Run implements command.
func (c *BundleHistory) Run(ctx context.Context, env Environment) error {
	store := c.store(env)
	head, err := store.Head(ctx)
	if err != nil {
		return err
	}
	answers := []versionAnswer{}
	for version := head.Version; version > 0 && head.Version-version < c.Count; version-- {
		record, err := store.Record(ctx, version)
		if err != nil {
			return err
		}
		answers = append(answers, newVersionAnswer(record))
	}
	return c.print(env, answers, func(out io.Writer) { printHistory(out, answers) })
}

func printHistory(out io.Writer, answers []versionAnswer) {
	printf(out, "VERSION\tPROPOSAL\tSIGNED BY\tCHANGED\n")
	for _, a := range answers {
		printf(out, "%d\t%s\t%s\t%s\n", a.Version, a.Proposal, strings.Join(a.SignOffs, ", "), shorten(a.Changed))
	}
}

// maxNamedSections limits the sections that a line of the history lists.
const maxNamedSections = 3

func shorten(names []string) string {
	if len(names) <= maxNamedSections {
		return strings.Join(names, ", ")
	}
	return strings.Join(names[:maxNamedSections], ", ") + ", ..."
}
