package node

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"auburngap/httpconn"
	"auburngap/route"
)

// Status is the state of a node as operators see it.
type Status struct {
	VM            string `json:"vm"`
	Zone          string `json:"zone"`
	Incarnation   string `json:"incarnation"`
	BundleVersion uint64 `json:"bundleVersion"`
	Service       string `json:"service"`
	Draining      bool   `json:"draining"`
	LiveCalls     int    `json:"liveCalls"`
	// BundleVersions holds, if the node is a relay, the active version of each node
	// that reports to it, by VM.
	BundleVersions map[string]uint64 `json:"bundleVersions,omitempty"`
}

// controlServer answers operators over HTTP.
type controlServer struct {
	node *Node
	http *fasthttp.Server
}

func newControlServer(n *Node) *controlServer {
	c := &controlServer{node: n}
	c.http = &fasthttp.Server{
		Handler:               c.handle,
		Name:                  "auburngap",
		NoDefaultServerHeader: true,
		ReduceMemoryUsage:     true,
		CloseOnShutdown:       true,
		Logger:                zap.NewStdLog(n.logger.Named("control")),
	}
	return c
}

// Serve answers until Shutdown.
func (c *controlServer) Serve(listener net.Listener) error {
	return c.http.Serve(httpconn.Listen(listener))
}

// Shutdown ends Serve.
func (c *controlServer) Shutdown(ctx context.Context) error {
	return c.http.ShutdownWithContext(ctx)
}

func (c *controlServer) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/healthz":
		ctx.SetBodyString("ok\n")
	case "/readyz":
		c.ready(ctx)
	case "/status":
		writeJSON(ctx, c.node.Status())
	case "/metrics":
		c.node.metrics.Handler(ctx)
	case "/targets":
		writeJSON(ctx, c.node.targets())
	case "/report":
		writeJSON(ctx, c.node.recorder.Snapshot(time.Now()))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (c *controlServer) ready(ctx *fasthttp.RequestCtx) {
	if c.node.local.leaving.Load() || !c.node.local.isReady() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("not ready\n")
		return
	}
	ctx.SetBodyString("ready\n")
}

// writeJSON answers an operator with a value as JSON.
func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(data, '\n'))
}

// Status returns the state of the node for operators.
func (n *Node) Status() Status {
	announced, ok := n.announced.Current()
	status := Status{
		VM:             n.identity.VM,
		Zone:           n.identity.Zone,
		Incarnation:    n.identity.Incarnation.String(),
		Service:        announced.Service,
		Draining:       !ok || announced.Draining,
		LiveCalls:      n.tokens.Count(),
		BundleVersions: n.directory.BundleVersions(),
	}
	if index := n.bundles.Index(); index != nil {
		status.BundleVersion = index.Bundle.Version
	}
	return status
}

// targets returns the backend servers of the services that this node follows.
func (n *Node) targets() map[string][]route.Target {
	targets := make(map[string][]route.Target)
	for _, service := range n.subscriptions.services() {
		targets[service] = n.directory.Targets(service)
	}
	return targets
}
