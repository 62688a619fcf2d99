package operator

import (
	"context"
	"encoding/base64"
	"io"

	"auburngap/bundle"
)

// callerKeyBytes is the number of random bytes of a caller's key.
const callerKeyBytes = 32

// KeyIssue is "auburngap key issue": it generates a key for a workspace's
// callers. The bundle holds only the key's hash.
type KeyIssue struct {
	changeFlags
	Workspace string `arg:"--workspace,required" placeholder:"NAME"`
	ID        string `arg:"--id,required" placeholder:"ID" help:"the name of the key in bundles and logs"`
}

// Run implements command.
func (c *KeyIssue) Run(ctx context.Context, env Environment) error {
	random := make([]byte, callerKeyBytes)
	if _, err := io.ReadFull(env.Random, random); err != nil {
		return ErrFailed.Wrap(err, "cannot read random bytes")
	}
	key := base64.RawURLEncoding.EncodeToString(random)
	result, err := c.change(ctx, env, "issue key "+c.ID, func(b *bundle.Bundle) error {
		return b.IssueKey(c.Workspace, bundle.Key{ID: c.ID, Hash: bundle.HashKey([]byte(key))})
	})
	if err != nil {
		return err
	}
	answer := keyAnswer{Key: key, ID: c.ID, Workspace: c.Workspace, Proposal: newProposalAnswer(result.proposal), RolledOut: result.rolledOut}
	return c.print(env, answer, func(out io.Writer) {
		printf(out, textKeyIssued, c.ID, c.Workspace, key)
		result.print(out)
	})
}
