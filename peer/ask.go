package peer

import (
	"context"
	"net/netip"

	"google.golang.org/protobuf/proto"
)

// Ask sends one control message to the node at address and reads the reply.
func Ask(ctx context.Context, p *Pool, address netip.AddrPort, kind Kind, message, reply proto.Message) error {
	stream, err := p.OpenStream(ctx, address)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(pastDeadline) })
	defer stop()
	defer func() { _ = stream.Close() }()

	w := NewFrameWriter(stream)
	defer w.Release()
	if err := w.Add(kind, message); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return ErrBroken.Wrap(err, "send kind %d", kind)
	}
	reader := NewFrameReader(stream)
	defer reader.Release()
	if err := reader.Expect(KindReply, reply); err != nil {
		return ErrBroken.Wrap(err, "reply to kind %d", kind)
	}
	return nil
}
