package bundle

import "github.com/joomcode/errorx"

// Errors of this package.
var (
	errs = errorx.NewNamespace("bundle")
	// ErrForged means that a bundle lacks valid sign-offs of enough operators.
	ErrForged = errs.NewType("forged")
	// ErrCorrupt means that the parts of a bundle cannot be decoded or are inconsistent.
	ErrCorrupt = errs.NewType("corrupt")
	// ErrBaseMismatch means that a delta applies to another version than the one held.
	ErrBaseMismatch = errs.NewType("base")
	// ErrConflict means that another operator's change was stored first.
	ErrConflict = errs.NewType("conflict")
	// ErrNotReady means that a proposal lacks sign-offs.
	ErrNotReady = errs.NewType("notReady")
	// ErrNoBundle means that the site has no bundle yet.
	ErrNoBundle = errs.NewType("noBundle", errorx.NotFound())
	// ErrNoKey means that there is no such key or workspace.
	ErrNoKey = errs.NewType("noKey", errorx.NotFound())
	// ErrNoProposal means that there is no such proposal.
	ErrNoProposal = errs.NewType("noProposal", errorx.NotFound())
)
