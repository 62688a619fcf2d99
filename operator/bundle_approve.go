package operator

import (
	"context"
	"io"

	"github.com/google/uuid"

	"auburngap/bundle"
)

// BundleApprove is "auburngap bundle approve": it signs a proposal.
type BundleApprove struct {
	platformFlags
	outputFlags
	Key string    `arg:"--key,required,env:AUBURNGAP_OPERATOR_KEY" placeholder:"FILE" help:"the operator's key, from key-pair"`
	ID  uuid.UUID `arg:"positional,required" placeholder:"ID"`
}

// Run implements command.
func (c *BundleApprove) Run(ctx context.Context, env Environment) error {
	signer, err := ReadSigner(c.Key)
	if err != nil {
		return err
	}
	store := c.store(env)
	proposal, err := store.Approve(ctx, c.ID, signer)
	if err != nil {
		return err
	}
	missing, err := store.MissingSignOffs(ctx, proposal)
	if err != nil {
		return err
	}
	return c.print(env, newProposalAnswer(proposal), func(out io.Writer) { printApproval(out, signer, proposal, missing) })
}

func printApproval(out io.Writer, signer bundle.Signer, proposal bundle.Proposal, missing int) {
	printf(out, textApproved, signer.Name, proposal.ID(), len(proposal.SignOffs))
	if missing > 0 {
		printf(out, textNeedsMore, missing, proposal.ID())
		return
	}
	printf(out, textReady, proposal.ID())
}
