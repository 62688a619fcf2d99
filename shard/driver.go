package shard

import (
	"context"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"auburngap/peer/peerpb"
)

// handle runs one event through the machine and performs its actions.
func (k *Keeper) handle(ctx context.Context, e queuedEvent) {
	if e.run != nil {
		e.run()
		return
	}
	version := k.machine.Table().Version
	for _, action := range k.machine.Handle(e.event, k.cfg.Clock.Now()) {
		k.perform(ctx, action, e.reply)
	}
	k.publish(version)
}

// publish makes the machine's decisions visible to LiveOwnership and OwnerOf. version is
// the version of the table that is already published.
func (k *Keeper) publish(version uint64) {
	for i := range k.liveOwnerships {
		ownership, until, ok := k.machine.LiveOwnership(i)
		if !ok {
			k.liveOwnerships[i].Store(nil)
			continue
		}
		if g := k.liveOwnerships[i].Load(); g == nil || g.until != until || g.ownership != ownership {
			k.liveOwnerships[i].Store(&liveOwnership{ownership: ownership, until: until})
		}
	}
	if table := k.machine.Table(); table.Version != version {
		k.tables.Store(k.cfg.Zone, &table)
	}
}

func (k *Keeper) perform(ctx context.Context, action Action, reply chan<- Answer) {
	switch a := action.(type) {
	case GainShard:
		k.gain(a)
	case LoseShard:
		k.lose(a)
	case SendAnswer:
		reply <- a.Answer
	case SendRequest:
		k.sendRequest(ctx, a)
	case ExportShard:
		k.export(ctx, a)
	case ShutdownComplete:
		k.log.Info("shard: all shards given up, leaving")
	default:
		k.callPlatform(ctx, action)
	}
}

func (k *Keeper) gain(a GainShard) {
	inherited := a.Inherited
	if a.ByHandover {
		received, ok := k.received[a.Shard]
		inherited = ok && received.epoch == a.FromEpoch
		if inherited {
			k.cfg.Callbacks.Import(a.Shard, received.state)
		}
	}
	delete(k.received, a.Shard)
	k.metrics.Counter("gained").Inc(1)
	k.log.Info("shard: gained", zap.Int("shard", a.Shard), zap.Uint64("epoch", a.Epoch), zap.Bool("inherited", inherited))
	k.cfg.Callbacks.Gained(a.Shard, a.Epoch, inherited)
}

func (k *Keeper) lose(a LoseShard) {
	// Lost still sees the published ownership: whether it is live decides
	// whether the state is kept.
	k.cfg.Callbacks.Lost(a.Shard)
	k.liveOwnerships[a.Shard].Store(nil)
	k.metrics.Counter("lost").Inc(1)
	k.log.Info("shard: lost", zap.Int("shard", a.Shard), zap.Uint64("epoch", a.Epoch))
}

// spawn runs a call in a goroutine and posts the event that it returns.
func (k *Keeper) spawn(ctx context.Context, timeout time.Duration, call func(ctx context.Context) Event) {
	k.calls.Add(1)
	go func() {
		defer k.calls.Done()
		callCtx, cancel := context.WithTimeout(ctx, timeout)
		event := call(callCtx)
		cancel()
		if event == nil {
			return
		}
		// This fails only once the keeper has stopped.
		_ = k.post(ctx, queuedEvent{event: event})
	}()
}

func (k *Keeper) sendRequest(ctx context.Context, a SendRequest) {
	to, ok := k.peer(a.To)
	if !ok {
		return
	}
	message, err := requestToMessage(k.cfg.VM, a.Request)
	if err != nil {
		k.log.Error("shard: question not sent", zap.Error(err))
		return
	}
	k.spawn(ctx, k.cfg.Timing.PollInterval, func(ctx context.Context) Event {
		reply, err := k.cfg.Peers.Confirm(ctx, to, message)
		if err != nil {
			return nil
		}
		answer, err := answerFromMessage(reply)
		if err != nil {
			return nil
		}
		return AnswerReceived{From: a.To, Answer: answer}
	})
}

func (k *Keeper) export(ctx context.Context, a ExportShard) {
	to, ok := k.peer(a.To)
	message := &peerpb.ShardHandover{Shard: uint32(a.Shard), Epoch: a.Epoch, State: k.cfg.Callbacks.Export(a.Shard), Vm: k.cfg.VM}
	k.spawn(ctx, k.cfg.Timing.HandoverTimeout/2, func(ctx context.Context) Event {
		event := ShardExported{Shard: a.Shard}
		if !ok {
			event.Err = ErrInvalid.New("address of VM %s is not known", a.To)
			return event
		}
		reply, err := k.cfg.Peers.HandOver(ctx, to, message)
		event.Incarnation, event.Err = reply.GetIncarnation(), err
		return event
	})
}

// HandleConfirm answers a request from another VM. It fails with ErrInvalid if the
// message is malformed and with ErrStopped once the keeper has stopped.
func (k *Keeper) HandleConfirm(ctx context.Context, message *peerpb.ShardConfirm) (*peerpb.ShardConfirmAnswer, error) {
	request, err := requestFromMessage(message)
	if err != nil {
		return nil, err
	}
	reply := make(chan Answer, 1)
	asked := RequestReceived{From: message.GetVm(), Request: request}
	if err := k.post(ctx, queuedEvent{event: asked, reply: reply}); err != nil {
		return nil, err
	}
	select {
	case answer := <-reply:
		return answerToMessage(answer)
	case <-k.stopped:
		return nil, ErrStopped.New("shard keeper has stopped")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// HandleHandOver stores the state of a shard that this VM will own next.
func (k *Keeper) HandleHandOver(ctx context.Context, message *peerpb.ShardHandover) (*peerpb.ShardHandoverAnswer, error) {
	shard := int(message.GetShard())
	if shard >= k.cfg.Shards {
		return nil, ErrInvalid.New("shard %d does not exist", shard)
	}
	done := make(chan struct{})
	store := func() {
		k.received[shard] = receivedState{epoch: message.GetEpoch(), state: message.GetState()}
		close(done)
	}
	if err := k.post(ctx, queuedEvent{run: store}); err != nil {
		return nil, err
	}
	select {
	case <-done:
		return &peerpb.ShardHandoverAnswer{Incarnation: k.cfg.Incarnation}, nil
	case <-k.stopped:
		return nil, ErrStopped.New("shard keeper has stopped")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// vms returns the names of the VMs to which requests can be sent, and stores their
// addresses.
func (k *Keeper) vms() []string {
	peers := k.cfg.Peers.VMs()
	names := make([]string, 0, len(peers))
	for _, p := range peers {
		names = append(names, p.VM)
		k.addresses.Store(p.VM, p.Address)
	}
	return names
}

// peer returns a VM with its address. It returns false if the address is not known.
func (k *Keeper) peer(vm string) (Peer, bool) {
	if c, ok := k.machine.view.candidates[vm]; ok {
		return Peer{VM: vm, Address: c.Address}, true
	}
	if address, ok := k.addresses.Load(vm); ok {
		return Peer{VM: vm, Address: address.(netip.AddrPort)}, true
	}
	address, ok := k.machine.Table().Addresses[vm]
	return Peer{VM: vm, Address: address}, ok
}
