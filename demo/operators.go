package main

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"auburngap/bundle"
)

// run runs the program's command line as an operator does, and returns what it prints.
func (d *demo) run(ctx context.Context, arguments ...string) (string, error) {
	var out, failure bytes.Buffer
	command := exec.CommandContext(ctx, d.arguments.Binary, arguments...)
	command.Env = append(os.Environ(), "AUBURNGAP_PLATFORM="+d.site.Platform.String())
	command.Stdout = &out
	command.Stderr = &failure
	if err := command.Run(); err != nil {
		return "", errDemo.Wrap(err, "auburngap %s: %s", strings.Join(arguments, " "), failure.String())
	}
	return out.String(), nil
}

// rollOut proposes a bundle, has the required number of operators approve it, and
// makes it the newest version.
func (d *demo) rollOut(ctx context.Context, file, note string) error {
	out, err := d.run(ctx, "bundle", "propose", "--author", d.bundle.Operators[0].Name, "--note", note, "--json", file)
	if err != nil {
		return err
	}
	return d.approveAndRollOut(ctx, out, note)
}

// approveAndRollOut approves and rolls out a proposal, given as JSON.
func (d *demo) approveAndRollOut(ctx context.Context, proposed, note string) error {
	// The answer to a key change contains the proposal as a field.
	type withID struct {
		ID string `json:"id"`
	}
	var answer struct {
		withID
		Proposal *withID `json:"proposal"`
	}
	if err := json.Unmarshal([]byte(proposed), &answer); err != nil {
		return errDemo.Wrap(err, "read the proposal %s", proposed)
	}
	proposal := answer.withID
	if answer.Proposal != nil {
		proposal = *answer.Proposal
	}
	for _, signer := range d.bundle.Operators[:d.bundle.SignOffs] {
		if _, err := d.run(ctx, "bundle", "approve", "--key", d.operatorKey(signer), proposal.ID); err != nil {
			return err
		}
	}
	if _, err := d.run(ctx, "bundle", "rollout", proposal.ID); err != nil {
		return err
	}
	logProgress("rolled out: %s", note)
	return nil
}

func (d *demo) operatorKey(o bundle.Operator) string {
	return d.deployPath("demo-operator-" + o.Name + ".key")
}

// withdrawKey rolls out a version in which a key is withdrawn.
func (d *demo) withdrawKey(ctx context.Context, id string) error {
	out, err := d.run(ctx, "key", "withdraw", "--id", id, "--key", d.operatorKey(d.bundle.Operators[0]), "--json")
	if err != nil {
		return err
	}
	return d.approveAndRollOut(ctx, out, "withdraw the key "+id)
}

// raiseRate rolls out a version in which a workspace's rate is doubled.
func (d *demo) raiseRate(ctx context.Context, workspace string) error {
	out, err := d.run(ctx, "bundle", "show")
	if err != nil {
		return err
	}
	b, err := bundle.Parse([]byte(out))
	if err != nil {
		return err
	}
	for i := range b.Workspaces {
		if b.Workspaces[i].Name == workspace {
			b.Workspaces[i].Rate *= 2
		}
	}
	data, err := json.MarshalIndent(b, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(d.arguments.Out, "next-bundle.json")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		return err
	}
	return d.rollOut(ctx, file, "twice the rate for "+workspace)
}
