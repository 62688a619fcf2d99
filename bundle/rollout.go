package bundle

import (
	"context"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"auburngap/kv"
)

// Rollout makes a signed proposal the newest version. The write of the version's record,
// which must not exist yet, decides between concurrent rollouts. The head is updated
// afterwards; if that fails, the next rollout of any operator updates it. Repeating a
// successful rollout succeeds. It returns ErrNotReady if sign-offs are missing, and
// ErrConflict if another proposal became the version.
func (s *Store) Rollout(ctx context.Context, id uuid.UUID) (Record, error) {
	proposal, err := s.Proposal(ctx, id)
	if err != nil {
		return Record{}, err
	}
	if existing, err := s.existingRecord(ctx, proposal); err != nil || existing != nil {
		return recordOrZero(existing), err
	}
	record, err := s.signedRecord(ctx, proposal)
	if err != nil {
		return Record{}, err
	}
	value, err := record.Encode()
	if err != nil {
		return Record{}, err
	}
	put := kv.PutRequest{Key: RecordKey(record.Header.Version), Value: value}
	err = s.write(ctx, put, func(value []byte) bool {
		stored, err := DecodeRecord(value)
		return err == nil && stored.Header.Proposal == id
	})
	if errorx.IsOfType(err, ErrConflict) {
		existing, err := s.existingRecord(ctx, proposal)
		return recordOrZero(existing), err
	}
	if err != nil {
		return Record{}, err
	}
	return record, s.advanceHead(ctx, record.Header)
}

func recordOrZero(record *Record) Record {
	if record == nil {
		return Record{}
	}
	return *record
}

// existingRecord returns the record of the proposal's version: nil if there is none yet,
// and ErrConflict if it was made from another proposal. It updates the head in case the
// writer of the record could not.
func (s *Store) existingRecord(ctx context.Context, proposal Proposal) (*Record, error) {
	header := proposal.Header
	record, err := s.Record(ctx, header.Version)
	if errorx.IsOfType(err, kv.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	if err := s.advanceHead(ctx, record.Header); err != nil {
		return nil, err
	}
	if record.Header.Proposal != header.Proposal {
		return nil, ErrConflict.New("version %d was made from proposal %s; propose %s again", header.Version, record.Header.Proposal, header.Proposal)
	}
	return &record, nil
}

func (s *Store) signedRecord(ctx context.Context, proposal Proposal) (Record, error) {
	base, err := s.newest(ctx)
	if err != nil {
		return Record{}, err
	}
	next, err := base.proposedBundle(proposal)
	if err != nil {
		return Record{}, err
	}
	if err := base.requiredTrust(next).requireSignOffs(proposal); err != nil {
		return Record{}, err
	}
	record := Record{Header: proposal.Header, SignOffs: proposal.SignOffs, Delta: proposal.Delta}
	if proposal.Header.Version%fullRecordInterval == 1 {
		sections, err := base.Sections.Apply(proposal.Delta)
		if err != nil {
			return Record{}, err
		}
		record.Delta = NewDelta(Sections{}, sections)
	}
	return record, nil
}

// Publish proposes, signs and rolls out a bundle in one call. It is meant for callers that
// hold the keys of enough operators: the demo and tests.
func (s *Store) Publish(ctx context.Context, request ProposeRequest, signers ...Signer) (Record, error) {
	proposal, err := s.Propose(ctx, request)
	if err != nil {
		return Record{}, err
	}
	for _, signer := range signers {
		if _, err := s.Approve(ctx, proposal.ID(), signer); err != nil {
			return Record{}, err
		}
	}
	return s.Rollout(ctx, proposal.ID())
}

// MissingSignOffs returns the number of sign-offs that a proposal still needs; zero means
// that it may be rolled out.
func (s *Store) MissingSignOffs(ctx context.Context, proposal Proposal) (int, error) {
	base, err := s.newest(ctx)
	if err != nil {
		return 0, err
	}
	next, err := base.proposedBundle(proposal)
	if err != nil {
		return 0, err
	}
	trust := base.requiredTrust(next)
	return max(0, trust.SignOffs-len(trust.Signers(proposal.Header, proposal.SignOffs))), nil
}

func (t Trust) requireSignOffs(proposal Proposal) error {
	if signers := t.Signers(proposal.Header, proposal.SignOffs); len(signers) < t.SignOffs {
		return ErrNotReady.New("proposal %s has %d of the %d sign-offs needed", proposal.ID(), len(signers), t.SignOffs)
	}
	return nil
}

// advanceHead raises the head to a version whose record is stored. A higher head is left
// as it is.
func (s *Store) advanceHead(ctx context.Context, header Header) error {
	for {
		head, revision, err := s.head(ctx)
		if err != nil {
			return err
		}
		if head.Version >= header.Version {
			return nil
		}
		next := Head{Version: header.Version, Proposal: header.Proposal}
		put := kv.PutRequest{Key: KeyHead, Value: mustMarshal(next), IfRevision: revision}
		err = s.write(ctx, put, func(value []byte) bool {
			stored, err := ParseHead(value)
			return err == nil && stored.Version >= header.Version
		})
		if !errorx.IsOfType(err, ErrConflict) {
			return err
		}
	}
}
