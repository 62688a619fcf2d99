package httpconn

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"go.uber.org/zap"
)

const (
	// maxBodyBytes bounds a request's body, which is streamed.
	maxBodyBytes = 1 << 30
	// maxHeadBytes bounds the head of a request.
	maxHeadBytes = 16 << 10
	// workerIdleTime is how long a goroutine waits for another connection.
	workerIdleTime = 2 * time.Second
)

// ServerConfig configures a server whose requests are forwarded.
type ServerConfig struct {
	Handler fasthttp.RequestHandler
	// OnBadRequest answers requests that cannot be read; nil uses fasthttp's answer.
	OnBadRequest func(ctx *fasthttp.RequestCtx, err error)
	// Busy counts the connections with a request whose answer is not written yet; it
	// may be nil. Only connections of this package's listeners count.
	Busy   *atomic.Int64
	Logger *zap.Logger
}

// NewServer returns a server that streams bodies and sends no default Server and
// Date headers.
func NewServer(config ServerConfig) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                      config.Handler,
		ErrorHandler:                 config.OnBadRequest,
		Name:                         "auburngap",
		StreamRequestBody:            true,
		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		NoDefaultDate:                true,
		ReduceMemoryUsage:            true,
		MaxIdleWorkerDuration:        workerIdleTime,
		MaxRequestBodySize:           maxBodyBytes,
		ReadBufferSize:               maxHeadBytes,
		CloseOnShutdown:              true,
		ConnState:                    func(conn net.Conn, state fasthttp.ConnState) { onConnState(conn, state, config.Busy) },
		Logger:                       zap.NewStdLog(config.Logger.Named("http").WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// onConnState marks a connection whose next read begins a request, and counts the
// busy connections. The goroutine that serves the connection calls it.
func onConnState(conn net.Conn, state fasthttp.ConnState, busy *atomic.Int64) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		c.setBusy(true, busy)
	case fasthttp.StateIdle:
		c.betweenRequests = true
		c.setBusy(c.HasStarted(), busy)
	case fasthttp.StateClosed, fasthttp.StateHijacked:
		c.setBusy(false, busy)
	}
}
