package shard

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"auburngap/kv"
)

// callPlatform performs a platform call and posts its result, with the reading of
// the clock taken before the call was sent.
func (k *Keeper) callPlatform(ctx context.Context, action Action) {
	sentAt := k.cfg.Clock.Now()
	k.spawn(ctx, k.cfg.Timing.PollInterval, func(ctx context.Context) Event {
		switch a := action.(type) {
		case ReadSnapshot:
			return k.readSnapshot(ctx, sentAt)
		case WriteTable:
			return k.writeTable(ctx, a, sentAt)
		case GrantLease:
			lease, err := k.cfg.Platform.Grant(ctx, a.TTL)
			return LeaseGranted{Lease: lease, SentAt: sentAt, Err: err}
		case PutLease:
			return LeasePut{Lease: a.Candidate.Lease, SentAt: sentAt, Err: k.putLease(ctx, a)}
		case RenewLease:
			return LeaseRenewed{Lease: a.Lease, SentAt: sentAt, Err: k.cfg.Platform.Renew(ctx, a.Lease)}
		case RevokeLease:
			k.revoke(a.Lease)
		}
		return nil
	})
}

// revoke ends the lease. It uses a new context, since the keeper is stopping. A
// lease that cannot be revoked lapses.
func (k *Keeper) revoke(lease kv.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), k.cfg.Timing.PollInterval)
	defer cancel()
	if err := k.cfg.Platform.Revoke(ctx, lease); err != nil {
		k.log.Warn("shard: lease not revoked", zap.Error(err))
	}
}

// readSnapshot reads the table and the leases at one revision.
func (k *Keeper) readSnapshot(ctx context.Context, sentAt time.Duration) Event {
	entries, _, err := k.cfg.Platform.List(ctx, Prefix(k.cfg.Zone))
	if err != nil {
		return Snapshot{SentAt: sentAt, Err: err}
	}
	s := Snapshot{Table: NewTable(k.cfg.Shards), SentAt: sentAt, Candidates: map[string]Candidate{}}
	for _, entry := range entries {
		if err := s.addEntry(k.cfg.Zone, entry); err != nil {
			k.log.Error("shard: unreadable entry at the platform", zap.String("key", entry.Key), zap.Error(err))
			s.Err = err
		}
	}
	return s
}

// addEntry adds one entry of the platform to the snapshot.
func (e *Snapshot) addEntry(zone string, entry kv.Entry) error {
	vm, isLease := strings.CutPrefix(entry.Key, LeasePrefix(zone))
	switch {
	case entry.Key == TableKey(zone):
		table, err := DecodeTable(entry.Value)
		if err != nil {
			return err
		}
		e.Table, e.Revision = table, entry.Revision
	case isLease:
		c := Candidate{}
		if err := json.Unmarshal(entry.Value, &c); err != nil {
			return ErrInvalid.Wrap(err, "cannot parse the lease record of VM %s", vm)
		}
		c.Revision = entry.Revision
		e.Candidates[vm] = c
	}
	return nil
}

func (k *Keeper) putLease(ctx context.Context, a PutLease) error {
	value, err := json.Marshal(a.Candidate)
	if err != nil {
		return ErrInvalid.Wrap(err, "cannot encode the lease record")
	}
	_, err = k.cfg.Platform.Put(ctx, kv.PutRequest{
		Key: LeaseKey(k.cfg.Zone, k.cfg.VM), Value: value, IfRevision: a.IfRevision, Lease: a.Candidate.Lease,
	})
	return err
}

func (k *Keeper) writeTable(ctx context.Context, a WriteTable, sentAt time.Duration) Event {
	event := TableWritten{Table: a.Table, SentAt: sentAt}
	for i := range a.Table.Shards {
		if e := &a.Table.Shards[i]; e.Owner != "" && e.Taken.IsZero() {
			e.Taken = time.Now().UTC().Truncate(time.Millisecond)
		}
	}
	value, err := a.Table.Encode()
	if err != nil {
		event.Err = err
		return event
	}
	entry, err := k.cfg.Platform.Put(ctx, kv.PutRequest{Key: TableKey(k.cfg.Zone), Value: value, IfRevision: a.IfRevision})
	event.Revision, event.Err = entry.Revision, err
	return event
}

// watchZones starts reading the other zones' tables periodically, for OwnerOf.
func (k *Keeper) watchZones(ctx context.Context) {
	for _, zone := range k.cfg.Zones {
		if zone == k.cfg.Zone {
			continue
		}
		k.calls.Add(1)
		go func() {
			defer k.calls.Done()
			k.watchZone(ctx, zone)
		}()
	}
}

func (k *Keeper) watchZone(ctx context.Context, zone string) {
	ticker := time.NewTicker(2 * k.cfg.Timing.PollInterval)
	defer ticker.Stop()
	for {
		k.readZone(ctx, zone)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (k *Keeper) readZone(ctx context.Context, zone string) {
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Timing.PollInterval)
	defer cancel()
	entry, err := k.cfg.Platform.Get(ctx, TableKey(zone))
	if err != nil {
		if !errorx.IsOfType(err, kv.ErrNotFound) {
			k.log.Debug("shard: another zone's table not read", zap.String("zone", zone), zap.Error(err))
		}
		return
	}
	table, err := DecodeTable(entry.Value)
	if err != nil {
		k.log.Error("shard: unreadable table", zap.String("zone", zone), zap.Error(err))
		return
	}
	k.tables.Store(zone, &table)
}
