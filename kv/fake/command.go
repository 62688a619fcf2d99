package fake

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"time"
)

// Command is "auburngap platform-fake": the fake as a process.
type Command struct {
	Listen      netip.AddrPort `arg:"--listen" default:"127.0.0.1:0" help:"address to listen on; port 0 takes a free one" placeholder:"ADDRESS"`
	LongestWait time.Duration  `arg:"--longest-wait" default:"10s" help:"longest wait of a watch" placeholder:"DURATION"`
}

// Run serves until ctx ends. Its first line on stdout is "listening on ADDRESS".
func (c Command) Run(ctx context.Context, stdout io.Writer) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", c.Listen.String())
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintln(stdout, "listening on", listener.Addr()); err != nil {
		return err
	}
	return Serve(ctx, New(Config{LongestWait: c.LongestWait}), listener)
}
