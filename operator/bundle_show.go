package operator

import (
	"context"

	"auburngap/bundle"
)

// BundleShow is "auburngap bundle show": it prints a version as JSON, ready to
// be changed and proposed.
type BundleShow struct {
	platformFlags
	Version uint64 `arg:"positional" placeholder:"VERSION" help:"the newest where none is named"`
}

// Run implements command.
func (c *BundleShow) Run(ctx context.Context, env Environment) error {
	store := c.store(env)
	version, err := c.load(ctx, store)
	if err != nil {
		return err
	}
	return outputFlags{JSON: true}.print(env, version.Bundle, nil)
}

func (c *BundleShow) load(ctx context.Context, store *bundle.Store) (*bundle.Version, error) {
	if c.Version == 0 {
		return loadHead(ctx, store)
	}
	return store.Load(ctx, c.Version)
}
