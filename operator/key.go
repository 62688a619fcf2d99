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

func (c *KeyCommand) chosen() command {
	switch {
	case c.Issue != nil:
		return c.Issue
	case c.Withdraw != nil:
		return c.Withdraw
	default:
		return missing{group: "key"}
	}
}

// changeFlags are the arguments of commands that change the newest version.
type changeFlags struct {
	platformFlags
	outputFlags
	Key     string `arg:"--key,required,env:AUBURNGAP_OPERATOR_KEY" placeholder:"FILE" help:"the operator's key, from key-pair"`
	Rollout bool   `arg:"--rollout" help:"roll out where this sign-off is enough"`
}

// changed is what became of a change.
type changed struct {
	signer    bundle.Signer
	proposal  bundle.Proposal
	missing   int
	rolledOut bool
}

// change proposes the newest version with a change, signs it and, if asked,
// rolls it out.
func (f changeFlags) change(ctx context.Context, env Environment, note string, edit func(*bundle.Bundle) error) (changed, error) {
	signer, err := ReadSigner(f.Key)
	if err != nil {
		return changed{}, err
	}
	store := f.store(env)
	head, err := headOf(ctx, store)
	if err != nil {
		return changed{}, err
	}
	if err := edit(head.Bundle); err != nil {
		return changed{}, err
	}
	request := bundle.ProposeRequest{Bundle: head.Bundle, Author: signer.Name, Note: note, Base: head.Number()}
	proposal, err := store.Propose(ctx, request)
	if err != nil {
		return changed{}, err
	}
	return f.sign(ctx, store, changed{signer: signer, proposal: proposal})
}

func (f changeFlags) sign(ctx context.Context, store *bundle.Store, done changed) (changed, error) {
	var err error
	if done.proposal, err = store.Approve(ctx, done.proposal.ID(), done.signer); err != nil {
		return done, err
	}
	if done.missing, err = store.MissingSignOffs(ctx, done.proposal); err != nil {
		return done, err
	}
	if !f.Rollout || done.missing > 0 {
		return done, nil
	}
	_, err = store.Rollout(ctx, done.proposal.ID())
	done.rolledOut = err == nil
	return done, err
}

func (c changed) print(out io.Writer) {
	printProposal(out, c.proposal)
	if c.rolledOut {
		printf(out, textRolledOut, c.proposal.Header.Version)
		return
	}
	printApproval(out, c.signer, c.proposal, c.missing)
}

// keyAnswer is the JSON of a key's change.
type keyAnswer struct {
	Key       string         `json:"key,omitempty"`
	ID        string         `json:"id"`
	Workspace string         `json:"workspace"`
	Proposal  proposalAnswer `json:"proposal"`
	RolledOut bool           `json:"rolledOut"`
}
