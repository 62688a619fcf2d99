package node

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"auburngap/bundle"
	"auburngap/platform"
)

// bundleInterval is the time between two looks at the bundle in force.
const bundleInterval = 500 * time.Millisecond

// bundleHolder holds the index of the bundle in force.
type bundleHolder struct {
	platform platform.Client
	logger   *zap.Logger
	index    atomic.Pointer[bundle.Index]
}

func newBundleHolder(client platform.Client, logger *zap.Logger) *bundleHolder {
	return &bundleHolder{platform: client, logger: logger}
}

// Index returns the bundle in force, or nil before there is one.
func (h *bundleHolder) Index() *bundle.Index {
	return h.index.Load()
}

// Run follows the platform until the context ends.
func (h *bundleHolder) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := h.look(ctx); err != nil && !errorx.IsOfType(err, platform.ErrNotFound) {
			h.logger.Warn("bundle: reading failed", zap.Error(err))
		}
		select {
		case <-ctx.Done():
		case <-time.After(bundleInterval):
		}
	}
	return nil
}

func (h *bundleHolder) look(ctx context.Context) error {
	entry, err := h.platform.Get(ctx, "bundle/head")
	if err != nil {
		return err
	}
	var b bundle.Bundle
	if err := json.Unmarshal(entry.Value, &b); err != nil {
		return err
	}
	if current := h.index.Load(); current != nil && current.Bundle.Version >= b.Version {
		return nil
	}
	h.index.Store(bundle.NewIndex(&b))
	h.logger.Info("bundle: version in force", zap.Uint64("version", b.Version))
	return nil
}
