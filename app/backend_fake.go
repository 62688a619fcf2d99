package app

import (
	"context"
	"net"
	"net/netip"
	"time"

	"auburngap/backend/fake"
)

// backendFakeCommand runs a fake backend server beside a node.
type backendFakeCommand struct {
	Service     string         `arg:"--service,required" help:"service that it serves"`
	Node        netip.AddrPort `arg:"--node,required" placeholder:"ADDRESS" help:"backend address of the node"`
	Listen      netip.AddrPort `arg:"--listen" default:"127.0.0.1:0" placeholder:"ADDRESS" help:"address to listen on"`
	Slots       int            `arg:"--slots" default:"16" help:"requests that it runs at once"`
	Connections int            `arg:"--connections" default:"256" help:"connections that it accepts"`
	Work        time.Duration  `arg:"--work" default:"5ms" help:"time that one request takes"`
	Calls       []string       `arg:"--calls" help:"services that each request calls"`
	Parallel    bool           `arg:"--parallel" help:"make the calls at the same time"`
}

func (c *backendFakeCommand) run(ctx context.Context) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", c.Listen.String())
	if err != nil {
		return err
	}
	server := fake.New(fake.Config{
		Service:     c.Service,
		Node:        c.Node,
		Slots:       c.Slots,
		Connections: c.Connections,
		Work:        c.Work,
		Calls:       c.Calls,
		Parallel:    c.Parallel,
	})
	return server.Run(ctx, listener)
}
