package operator

import (
	"context"
	"io"

	"auburngap/bundle"
)

// KeyCommand is "auburngap key".
type KeyCommand struct {
	Issue    *KeyIssue    `arg:"subcommand:issue" help:"make a key for a workspace's callers"`
	Withdraw *KeyWithdraw `arg:"subcommand:withdraw" help:"withdraw a key"`
}

func (c *KeyCommand) selected() command {
	switch {
	case c.Issue != nil:
		return c.Issue
	case c.Withdraw != nil:
		return c.Withdraw
	default:
		return missingCommand{group: "key"}
	}
}

// changeFlags holds the arguments of commands that change the newest version.
type changeFlags struct {
	platformFlags
	outputFlags
	Key     string `arg:"--key,required,env:AUBURNGAP_OPERATOR_KEY" placeholder:"FILE" help:"the operator's key, from key-pair"`
	Rollout bool   `arg:"--rollout" help:"roll out where this sign-off is enough"`
}

// changeResult is the result of a change.
type changeResult struct {
	signer    bundle.Signer
	proposal  bundle.Proposal
	missing   int
	rolledOut bool
}

// change proposes a changed copy of the newest version, signs the proposal and, if the
// Rollout flag is set and its sign-offs are enough, rolls it out.
func (f changeFlags) change(ctx context.Context, env Environment, note string, edit func(*bundle.Bundle) error) (changeResult, error) {
	signer, err := ReadSigner(f.Key)
	if err != nil {
		return changeResult{}, err
	}
	store := f.store(env)
	head, err := loadHead(ctx, store)
	if err != nil {
		return changeResult{}, err
	}
	if err := edit(head.Bundle); err != nil {
		return changeResult{}, err
	}
	request := bundle.ProposeRequest{Bundle: head.Bundle, Author: signer.Name, Note: note, Base: head.Number()}
	proposal, err := store.Propose(ctx, request)
	if err != nil {
		return changeResult{}, err
	}
	return f.sign(ctx, store, changeResult{signer: signer, proposal: proposal})
}

// sign signs the proposal and rolls it out as change says.
func (f changeFlags) sign(ctx context.Context, store *bundle.Store, result changeResult) (changeResult, error) {
	var err error
	if result.proposal, err = store.Approve(ctx, result.proposal.ID(), result.signer); err != nil {
		return result, err
	}
	if result.missing, err = store.MissingSignOffs(ctx, result.proposal); err != nil {
		return result, err
	}
	if !f.Rollout || result.missing > 0 {
		return result, nil
	}
	_, err = store.Rollout(ctx, result.proposal.ID())
	result.rolledOut = err == nil
	return result, err
}

func (r changeResult) print(out io.Writer) {
	printProposal(out, r.proposal)
	if r.rolledOut {
		printf(out, textRolledOut, r.proposal.Header.Version)
		return
	}
	printApproval(out, r.signer, r.proposal, r.missing)
}

// keyAnswer is the JSON output of a key's change.
type keyAnswer struct {
	Key       string         `json:"key,omitempty"`
	ID        string         `json:"id"`
	Workspace string         `json:"workspace"`
	Proposal  proposalAnswer `json:"proposal"`
	RolledOut bool           `json:"rolledOut"`
}
