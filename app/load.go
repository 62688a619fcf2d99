package app

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"auburngap/load"
)

// loadCommand sends an open-loop load to a node on this machine.
type loadCommand struct {
	Address  netip.AddrPort `arg:"--address,required" placeholder:"ADDRESS" help:"caller address of a node, on loopback"`
	Path     string         `arg:"--path" default:"/" help:"path to ask for"`
	Method   string         `arg:"--method" default:"GET" help:"HTTP method"`
	Key      string         `arg:"--key,env:AUBURNGAP_KEY" help:"the caller's key"`
	Rate     float64        `arg:"--rate" default:"100" help:"requests a second"`
	Duration time.Duration  `arg:"--duration" default:"10s" help:"how long to send"`
	Header   []string       `arg:"--header,separate" placeholder:"NAME:VALUE" help:"a header to send with each request"`
}

func (c *loadCommand) run(ctx context.Context, stdout io.Writer) error {
	headers := make(map[string]string)
	for _, header := range c.Header {
		name, value, _ := strings.Cut(header, ":")
		headers[name] = strings.TrimSpace(value)
	}
	result, err := load.Run(ctx, load.Config{
		Address: c.Address, Path: c.Path, Method: c.Method, Key: c.Key,
		Rate: c.Rate, Duration: c.Duration, Headers: headers,
	})
	if err != nil {
		return err
	}
	printLoad(stdout, result)
	return nil
}

func printLoad(out io.Writer, result *load.Result) {
	latency := result.Latency
	printLine(out, fmt.Sprintf("latency   p50 %v  p99 %v  p99.9 %v  max %v",
		micros(latency.ValueAtQuantile(50)), micros(latency.ValueAtQuantile(99)),
		micros(latency.ValueAtQuantile(99.9)), micros(latency.Max())))
	printCounts(out, "statuses ", result.Statuses)
	printCounts(out, "causes   ", result.Causes)
	if result.Unsent > 0 {
		printLine(out, fmt.Sprintf("unsent    %d", result.Unsent))
	}
}

func micros(value int64) time.Duration { return time.Duration(value) * time.Microsecond }

func printCounts[K int | string](out io.Writer, title string, counts map[K]int) {
	var parts []string
	for key, count := range counts {
		parts = append(parts, fmt.Sprintf("%v: %d", key, count))
	}
	slices.Sort(parts)
	printLine(out, title+" "+strings.Join(parts, "  "))
}
