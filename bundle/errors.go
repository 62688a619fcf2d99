package bundle

import "github.com/joomcode/errorx"

// The errors of bundles.
var (
	errs = errorx.NewNamespace("bundle")
	// ErrForged means that the sign-offs of a bundle do not suffice.
	ErrForged = errs.NewType("forged")
	// ErrCorrupt means that a bundle's parts cannot be read or do not fit together.
	ErrCorrupt = errs.NewType("corrupt")
	// ErrBase means that a delta is for another version than the one held.
	ErrBase = errs.NewType("base")
	// ErrConflict means that another operator's change came first.
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
