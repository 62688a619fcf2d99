package operator

import (
	"context"
	"io"
	"time"

	"auburngap/bundle"
)

// BundlePropose is "auburngap bundle propose": it proposes a bundle as the next
// version.
type BundlePropose struct {
	platformFlags
	outputFlags
	Author string `arg:"--author,required" placeholder:"NAME" help:"who proposes"`
	Note   string `arg:"--note" placeholder:"TEXT" help:"what for"`
	Base   uint64 `arg:"--base" placeholder:"VERSION" help:"fail if this is not the newest version any more"`
	File   string `arg:"positional,required" placeholder:"FILE"`
}

// Run implements command.
func (c *BundlePropose) Run(ctx context.Context, env Environment) error {
	b, err := readBundle(c.File)
	if err != nil {
		return err
	}
	request := bundle.ProposeRequest{Bundle: b, Author: c.Author, Note: c.Note, Base: c.Base}
	proposal, err := c.store(env).Propose(ctx, request)
	if err != nil {
		return err
	}
	return c.print(env, newProposalAnswer(proposal), func(out io.Writer) { printProposal(out, proposal) })
}

// proposalAnswer is the JSON output of a proposal.
type proposalAnswer struct {
	ID       string    `json:"id"`
	Version  uint64    `json:"version"`
	Author   string    `json:"author"`
	Note     string    `json:"note,omitempty"`
	Created  time.Time `json:"created"`
	SignOffs []string  `json:"signOffs"`
}

func newProposalAnswer(proposal bundle.Proposal) proposalAnswer {
	return proposalAnswer{
		ID:       proposal.ID().String(),
		Version:  proposal.Header.Version,
		Author:   proposal.Author,
		Note:     proposal.Note,
		Created:  proposal.Created,
		SignOffs: signerNames(proposal.SignOffs),
	}
}

func signerNames(signOffs []bundle.SignOff) []string {
	names := make([]string, 0, len(signOffs))
	for _, signOff := range signOffs {
		names = append(names, signOff.Operator)
	}
	return names
}

func printProposal(out io.Writer, proposal bundle.Proposal) {
	printf(out, textProposed, proposal.ID(), proposal.Header.Version, proposal.Author)
}
