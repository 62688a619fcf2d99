package httpconn

import (
	"net"
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
	Logger       *zap.Logger
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
		ConnState:                    onConnState,
		Logger:                       zap.NewStdLog(config.Logger.Named("http").WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// onConnState marks a connection whose next read begins a request.
func onConnState(conn net.Conn, state fasthttp.ConnState) {
	if c, ok := conn.(*Conn); ok && state == fasthttp.StateIdle {
		c.betweenRequests = true
	}
}
