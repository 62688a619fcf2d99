package operator

import (
	"context"
	"io"

	"auburngap/bundle"
)

// KeyWithdraw is "auburngap key withdraw". The key stays in the bundle, so
// that refusals of withdrawn keys can be distinguished.
type KeyWithdraw struct {
	changeFlags
	ID string `arg:"--id,required" placeholder:"ID"`
}

// Run implements command.
func (c *KeyWithdraw) Run(ctx context.Context, env Environment) error {
	workspace := ""
	result, err := c.change(ctx, env, "withdraw key "+c.ID, func(b *bundle.Bundle) error {
		var err error
		workspace, err = b.WithdrawKey(c.ID)
		return err
	})
	if err != nil {
		return err
	}
	answer := keyAnswer{ID: c.ID, Workspace: workspace, Proposal: newProposalAnswer(result.proposal), RolledOut: result.rolledOut}
	return c.print(env, answer, func(out io.Writer) {
		printf(out, textKeyWithdrawn, c.ID, workspace)
		result.print(out)
	})
}
