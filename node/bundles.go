package node

import (
	"context"
	"encoding/json"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"auburngap/bundle"
	"auburngap/platform"
)

// headKey holds the newest bundle at the platform.
const headKey = "bundle/head"

// bundleHolder holds the index of the bundle in force; it only moves upwards.
type bundleHolder struct {
	logger *zap.Logger
	index  atomic.Pointer[bundle.Index]
	// onForce is told of each version that comes into force.
	onForce func(*bundle.Index)
}

// Index returns the bundle in force, or nil before there is one.
func (h *bundleHolder) Index() *bundle.Index {
	return h.index.Load()
}

// Highest implements directory.BundleSink.
func (h *bundleHolder) Highest() uint64 {
	if index := h.index.Load(); index != nil {
		return index.Bundle.Version
	}
	return 0
}

// Offer implements directory.BundleSink.
func (h *bundleHolder) Offer(version uint64, raw []byte) {
	if version <= h.Highest() {
		return
	}
	var b bundle.Bundle
	if err := json.Unmarshal(raw, &b); err != nil {
		h.logger.Warn("bundle: offer refused", zap.Uint64("version", version), zap.Error(err))
		return
	}
	index := bundle.NewIndex(&b)
	h.index.Store(index)
	h.logger.Info("bundle: version in force", zap.Uint64("version", b.Version))
	h.onForce(index)
}

// bundleSource reads bundles from the platform, for relays.
type bundleSource struct {
	platform platform.Client
}

// Head implements directory.BundleSource.
func (s *bundleSource) Head(ctx context.Context) (uint64, []byte, error) {
	entry, err := s.platform.Get(ctx, headKey)
	if errorx.IsOfType(err, platform.ErrNotFound) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, err
	}
	var b bundle.Bundle
	if err := json.Unmarshal(entry.Value, &b); err != nil {
		return 0, nil, err
	}
	return b.Version, entry.Value, nil
}

// Next implements directory.BundleSource.
func (s *bundleSource) Next(ctx context.Context, above uint64) (uint64, []byte, error) {
	var after platform.Revision
	for {
		version, raw, err := s.Head(ctx)
		if err != nil || version > above {
			return version, raw, err
		}
		_, revision, err := s.platform.Watch(ctx, headKey, after)
		if err != nil {
			return 0, nil, err
		}
		if revision == after {
			return 0, nil, nil
		}
		after = revision
	}
}
