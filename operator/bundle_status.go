package operator

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/joomcode/errorx"

	"auburngap/bundle"
)

// BundleStatus is "auburngap bundle status": it shows the newest version and the open
// proposals.
type BundleStatus struct {
	platformFlags
	outputFlags
}

// bundleStatusAnswer is the JSON output of the status; version 0 means that there is
// no version.
type bundleStatusAnswer struct {
	Version   uint64           `json:"version"`
	Proposals []proposalAnswer `json:"proposals"`
}

// Run implements command.
func (c *BundleStatus) Run(ctx context.Context, env Environment) error {
	store := c.store(env)
	head, err := store.Head(ctx)
	if err != nil && !errorx.IsOfType(err, bundle.ErrNoBundle) {
		return err
	}
	proposals, err := store.Proposals(ctx)
	if err != nil {
		return err
	}
	answer := bundleStatusAnswer{Version: head.Version, Proposals: []proposalAnswer{}}
	for _, proposal := range proposals {
		answer.Proposals = append(answer.Proposals, newProposalAnswer(proposal))
	}
	return c.print(env, answer, func(out io.Writer) { printBundleStatus(out, answer) })
}

func printBundleStatus(out io.Writer, answer bundleStatusAnswer) {
	printf(out, "newest version: %d\n", answer.Version)
	if len(answer.Proposals) == 0 {
		printf(out, textNoProposals)
		return
	}
	printf(out, "PROPOSAL\tFOR\tAUTHOR\tCREATED\tSIGNED BY\tNOTE\n")
	for _, p := range answer.Proposals {
		printf(out, "%s\t%d\t%s\t%s\t%s\t%s\n", p.ID, p.Version, p.Author,
			p.Created.Format(time.RFC3339), strings.Join(p.SignOffs, ", "), p.Note)
	}
}
