package bundle

import (
	"context"
	"crypto/ed25519"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"auburngap/kv"
)

// Proposal is a proposed version that collects sign-offs.
type Proposal struct {
	Header   Header    `json:"header"`
	Delta    Delta     `json:"delta"`
	SignOffs []SignOff `json:"signOffs"`
	Author   string    `json:"author"`
	Note     string    `json:"note,omitempty"`
	Created  time.Time `json:"created"`
}

// ID returns the proposal's ID.
func (p Proposal) ID() uuid.UUID {
	return p.Header.Proposal
}

// ProposeRequest asks for a new version.
type ProposeRequest struct {
	// Bundle is the complete new version; its Version is ignored.
	Bundle *Bundle
	Author string
	Note   string
	// Base, if it is not zero, is the version from which the change was made. It must
	// still be the newest one.
	Base uint64
}

// Propose stores a proposal for the version after the newest. It returns *FaultsError for
// a faulty bundle and ErrConflict if Base is not the newest version.
func (s *Store) Propose(ctx context.Context, request ProposeRequest) (Proposal, error) {
	if faults := request.Bundle.Check(); len(faults) > 0 {
		return Proposal{}, &FaultsError{Faults: faults}
	}
	base, err := s.newest(ctx)
	if err != nil {
		return Proposal{}, err
	}
	if request.Base != 0 && request.Base != base.Number() {
		return Proposal{}, ErrConflict.New("the change was made from version %d, and version %d is the newest", request.Base, base.Number())
	}
	proposal, err := s.newProposal(base, request)
	if err != nil {
		return Proposal{}, err
	}
	value, err := encode(proposal)
	if err != nil {
		return Proposal{}, err
	}
	put := kv.PutRequest{Key: proposalKey(proposal.ID()), Value: value}
	return proposal, s.write(ctx, put, matchesProposal(proposal.ID()))
}

func (s *Store) newProposal(base *Version, request ProposeRequest) (Proposal, error) {
	sections, err := Split(request.Bundle)
	if err != nil {
		return Proposal{}, err
	}
	id, err := s.config.NewID()
	if err != nil {
		return Proposal{}, err
	}
	header := Header{
		Version:      base.Number() + 1,
		Proposal:     id,
		Previous:     base.rootHash(),
		Root:         sections.Root(),
		TrustVersion: base.Trust.Version,
		TrustChanged: base.changesTrust(trustFrom(request.Bundle)),
	}
	return Proposal{
		Header:  header,
		Delta:   NewDelta(base.Sections, sections),
		Author:  request.Author,
		Note:    request.Note,
		Created: s.config.Now().UTC(),
	}, nil
}

func matchesProposal(id uuid.UUID) func([]byte) bool {
	return func(value []byte) bool {
		stored, err := decodeStored[Proposal](value)
		return err == nil && stored.ID() == id
	}
}

// Proposal returns a proposal, or ErrNoProposal.
func (s *Store) Proposal(ctx context.Context, id uuid.UUID) (Proposal, error) {
	proposal, _, err := s.proposal(ctx, id)
	return proposal, err
}

func (s *Store) proposal(ctx context.Context, id uuid.UUID) (Proposal, kv.Revision, error) {
	entry, err := s.read(ctx, proposalKey(id))
	if errorx.IsOfType(err, kv.ErrNotFound) {
		return Proposal{}, 0, ErrNoProposal.New("no proposal %s", id)
	}
	if err != nil {
		return Proposal{}, 0, err
	}
	proposal, err := decodeStored[Proposal](entry.Value)
	return proposal, entry.Revision, err
}

// Proposals returns the proposals that can still be rolled out, oldest first.
func (s *Store) Proposals(ctx context.Context) ([]Proposal, error) {
	head, _, err := s.head(ctx)
	if err != nil {
		return nil, err
	}
	entries, _, err := s.config.Client.List(ctx, proposalPrefix)
	if err != nil {
		return nil, err
	}
	var open []Proposal
	for _, entry := range entries {
		proposal, err := decodeStored[Proposal](entry.Value)
		if err != nil {
			return nil, errorx.Decorate(err, "%s", entry.Key)
		}
		if proposal.Header.Version == head.Version+1 {
			open = append(open, proposal)
		}
	}
	slices.SortFunc(open, func(a, b Proposal) int { return a.Created.Compare(b.Created) })
	return open, nil
}

// Changes returns the differences between the newest version and a proposal, or
// ErrConflict if another version was rolled out since the proposal.
func (s *Store) Changes(ctx context.Context, proposal Proposal) ([]Change, error) {
	base, err := s.newest(ctx)
	if err != nil {
		return nil, err
	}
	if _, err := base.proposedBundle(proposal); err != nil {
		return nil, err
	}
	next, err := base.Sections.Apply(proposal.Delta)
	if err != nil {
		return nil, err
	}
	return Diff(base.Sections, next), nil
}

// Signer is an operator with a private key.
type Signer struct {
	Name string
	Key  ed25519.PrivateKey
}

// Approve adds an operator's sign-off to a proposal. Approving twice has no further
// effect, and concurrent approvals by different operators all succeed. It returns
// ErrConflict if another version was rolled out first, and ErrForged if the operator may
// not sign it.
func (s *Store) Approve(ctx context.Context, id uuid.UUID, signer Signer) (Proposal, error) {
	for {
		proposal, revision, err := s.proposal(ctx, id)
		if err != nil {
			return Proposal{}, err
		}
		signOff := Sign(proposal.Header, signer.Name, signer.Key)
		if hasSignOff(proposal, signOff) {
			return proposal, nil
		}
		if err := s.checkApproval(ctx, proposal, signOff); err != nil {
			return Proposal{}, err
		}
		proposal.SignOffs = append(proposal.SignOffs, signOff)
		value, err := encode(proposal)
		if err != nil {
			return Proposal{}, err
		}
		put := kv.PutRequest{Key: proposalKey(id), Value: value, IfRevision: revision}
		err = s.write(ctx, put, func(value []byte) bool {
			stored, err := decodeStored[Proposal](value)
			return err == nil && hasSignOff(stored, signOff)
		})
		if !errorx.IsOfType(err, ErrConflict) {
			return proposal, err
		}
	}
}

func hasSignOff(proposal Proposal, signOff SignOff) bool {
	return slices.ContainsFunc(proposal.SignOffs, func(held SignOff) bool {
		return slices.Equal(held.Signature, signOff.Signature)
	})
}

func (s *Store) checkApproval(ctx context.Context, proposal Proposal, signOff SignOff) error {
	base, err := s.newest(ctx)
	if err != nil {
		return err
	}
	next, err := base.proposedBundle(proposal)
	if err != nil {
		return err
	}
	if faults := next.Check(); len(faults) > 0 {
		return &FaultsError{Faults: faults}
	}
	trust := base.requiredTrust(next)
	if len(trust.Signers(proposal.Header, []SignOff{signOff})) == 0 {
		return ErrForged.New("the key of %s is not that of an operator who may sign version %d", signOff.Operator, proposal.Header.Version)
	}
	return nil
}

// proposedBundle returns the bundle that results from applying a proposal to v, the newest
// version. It returns ErrConflict if the proposal is not for the version after v.
func (v *Version) proposedBundle(proposal Proposal) (*Bundle, error) {
	header := proposal.Header
	if header.Version != v.Number()+1 || header.Previous != v.rootHash() {
		return nil, ErrConflict.New("proposal %s is for version %d, and version %d is in the platform already; propose it again", header.Proposal, header.Version, v.Number())
	}
	sections, err := v.Sections.Apply(proposal.Delta)
	if err != nil {
		return nil, err
	}
	if sections.Root() != header.Root {
		return nil, ErrCorrupt.New("the sections of proposal %s do not match the signed hash", header.Proposal)
	}
	return sections.Join(header.Version)
}
