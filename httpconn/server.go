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
	// headBytes bounds the head of a request.
	headBytes = 16 << 10
	// idleWorker is how long a goroutine waits for another connection.
	idleWorker = 2 * time.Second
)

// ServerConfig configures a server of requests that are passed on.
type ServerConfig struct {
	Handler fasthttp.RequestHandler
	// OnBadRequest answers requests that cannot be read; nil takes the library's answer.
	OnBadRequest func(ctx *fasthttp.RequestCtx, err error)
	Logger       *zap.Logger
}

// NewServer returns a server that streams bodies and adds nothing of its own.
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
		MaxIdleWorkerDuration:        idleWorker,
		MaxRequestBodySize:           maxBodyBytes,
		ReadBufferSize:               headBytes,
		CloseOnShutdown:              true,
		ConnState:                    markIdle,
		Logger:                       zap.NewStdLog(config.Logger.Named("http").WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
}

// markIdle tells a connection that its next read begins a request.
func markIdle(conn net.Conn, state fasthttp.ConnState) {
	if c, ok := conn.(*Conn); ok && state == fasthttp.StateIdle {
		c.between = true
	}
}
