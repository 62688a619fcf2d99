package directory_test

import (
	"context"
	"strconv"
	"time"

	"auburngap/kv"
)

const headKey = "bundle/head"

// source reads bundles from the platform. The value of a head is its version as a
// decimal number.
type source struct{ kv.Client }

func (s source) Head(ctx context.Context) (uint64, []byte, error) {
	version, raw, _, err := s.read(ctx)
	return version, raw, err
}

func (s source) read(ctx context.Context) (uint64, []byte, kv.Revision, error) {
	entries, revision, err := s.List(ctx, headKey)
	if err != nil || len(entries) == 0 {
		return 0, nil, revision, err
	}
	version, err := strconv.ParseUint(string(entries[0].Value), 10, 64)
	return version, entries[0].Value, revision, err
}

func (s source) Next(ctx context.Context, above uint64) (uint64, []byte, error) {
	version, raw, revision, err := s.read(ctx)
	if err != nil || version > above {
		return version, raw, err
	}
	entries, _, err := s.Watch(ctx, headKey, revision)
	if err != nil || len(entries) == 0 {
		return 0, nil, err
	}
	version, err = strconv.ParseUint(string(entries[0].Value), 10, 64)
	return version, entries[0].Value, err
}

// memberPlatform is the platform as reached by one run of a node.
type memberPlatform struct {
	m *member
	l *nodeRun
}

func (p memberPlatform) client() (kv.Client, error) {
	p.m.site.mu.Lock()
	defer p.m.site.mu.Unlock()
	if p.l.killed.Load() || p.m.site.isolatedZone == p.m.zone || p.m.site.withoutPlatform == p.m.zone || p.m.site.unresponsive == p.m {
		return nil, kv.ErrUnavailable.New("isolated")
	}
	return p.m.site.platform, nil
}

func (p memberPlatform) Era() kv.Era { return p.m.site.platform.Era() }

func (p memberPlatform) Get(ctx context.Context, key string) (kv.Entry, error) {
	c, err := p.client()
	if err != nil {
		return kv.Entry{}, err
	}
	return c.Get(ctx, key)
}

func (p memberPlatform) List(ctx context.Context, prefix string) ([]kv.Entry, kv.Revision, error) {
	c, err := p.client()
	if err != nil {
		return nil, 0, err
	}
	return c.List(ctx, prefix)
}

func (p memberPlatform) Put(ctx context.Context, put kv.PutRequest) (kv.Entry, error) {
	c, err := p.client()
	if err != nil {
		return kv.Entry{}, err
	}
	return c.Put(ctx, put)
}

func (p memberPlatform) Watch(ctx context.Context, prefix string, after kv.Revision) ([]kv.Entry, kv.Revision, error) {
	c, err := p.client()
	if err != nil {
		return nil, 0, err
	}
	return c.Watch(ctx, prefix, after)
}

func (p memberPlatform) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	c, err := p.client()
	if err != nil {
		return 0, err
	}
	return c.Grant(ctx, ttl)
}

func (p memberPlatform) Renew(ctx context.Context, lease kv.LeaseID) error {
	c, err := p.client()
	if err != nil {
		return err
	}
	return c.Renew(ctx, lease)
}

func (p memberPlatform) Revoke(ctx context.Context, lease kv.LeaseID) error {
	c, err := p.client()
	if err != nil {
		return err
	}
	return c.Revoke(ctx, lease)
}
