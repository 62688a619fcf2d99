package fake

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"

	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"auburngap/kv"
)

// maxBodyBytes is enough for a put of the largest value in base64.
const maxBodyBytes = 2 * kv.MaxValueBytes

// Serve serves the service's HTTP protocol and the admin calls until ctx ends. A
// call that fails with ErrUnavailable gets no answer: its connection is closed.
func Serve(ctx context.Context, service *Service, listener net.Listener) error {
	handler := handler{ctx: ctx, service: service}
	server := &fasthttp.Server{
		Handler:            handler.serve,
		MaxRequestBodySize: maxBodyBytes,
		CloseOnShutdown:    true,
		Logger:             discardLogger{},
	}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error { return server.Serve(listener) })
	group.Go(func() error {
		<-groupCtx.Done()
		err := listener.Close() // Shutdown alone doesn't stop a server that has not started yet
		return errors.Join(ignoreClosed(err), ignoreClosed(server.Shutdown()))
	})
	return group.Wait()
}

func ignoreClosed(err error) error {
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

type discardLogger struct{}

// Printf implements fasthttp.Logger; it drops the log lines about closed connections.
func (discardLogger) Printf(string, ...any) {}

type handler struct {
	ctx     context.Context
	service *Service
}

func (h handler) serve(ctx *fasthttp.RequestCtx) {
	answer, err := h.answer(string(ctx.Path()), ctx.PostBody())
	if errorx.IsOfType(err, kv.ErrUnavailable) {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	if err != nil {
		answer = kv.ErrorAnswer{Message: err.Error()}
	}
	body, err2 := json.Marshal(answer)
	if err2 != nil {
		ctx.Error(err2.Error(), http.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(kv.StatusOf(err))
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func (h handler) answer(path string, body []byte) (any, error) {
	switch path {
	case kv.PathGet, kv.PathList, kv.PathWatch:
		return h.read(path, body)
	case kv.PathPut:
		put, err := parse[kv.PutRequest](body)
		if err != nil {
			return nil, err
		}
		return h.service.Put(h.ctx, put)
	case kv.PathGrant, kv.PathRenew, kv.PathRevoke:
		return h.lease(path, body)
	default:
		return h.admin(path, body)
	}
}

func (h handler) read(path string, body []byte) (any, error) {
	request, err := parse[kv.ReadRequest](body)
	if err != nil {
		return nil, err
	}
	switch path {
	case kv.PathGet:
		return h.service.Get(h.ctx, request.Key)
	case kv.PathList:
		entries, revision, err := h.service.List(h.ctx, request.Prefix)
		return kv.ReadAnswer{Entries: entries, Revision: revision}, err
	default:
		entries, revision, err := h.service.Watch(h.ctx, request.Prefix, request.After)
		return kv.ReadAnswer{Entries: entries, Revision: revision}, err
	}
}

func (h handler) lease(path string, body []byte) (any, error) {
	request, err := parse[kv.LeaseRequest](body)
	if err != nil {
		return nil, err
	}
	switch path {
	case kv.PathGrant:
		granted, err := h.service.Grant(h.ctx, request.TTL())
		return kv.LeaseAnswer{Lease: granted}, err
	case kv.PathRenew:
		return struct{}{}, h.service.Renew(h.ctx, request.Lease)
	default:
		return struct{}{}, h.service.Revoke(h.ctx, request.Lease)
	}
}

func parse[R any](body []byte) (R, error) {
	var request R
	if err := json.Unmarshal(body, &request); err != nil {
		return request, kv.ErrInvalid.Wrap(err, "cannot decode the request")
	}
	return request, nil
}
