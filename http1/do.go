package http1

import (
	"bufio"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"auburngap/tcpconn"
)

// Do sends a request over a connection of a client's pool, once, and reads the whole
// response, both until the deadline. It returns ErrBroken for a response that is not as
// HTTP requires, or not whole; its connection is closed. A connection on which more has
// arrived than the response is not used again: that would pass for the next response.
func Do(client *fasthttp.HostClient, request *fasthttp.Request, response *fasthttp.Response, deadline time.Time) error {
	timeout := time.Until(deadline)
	if timeout <= 0 {
		return fasthttp.ErrTimeout
	}
	pooled, err := client.AcquireConn(timeout, request.ConnectionClose())
	for err == nil && !pooled.LastUseTime().IsZero() && !tcpconn.IsIdle(pooled.Conn()) {
		client.CloseConn(pooled)
		pooled, err = client.AcquireConn(timeout, request.ConnectionClose())
	}
	if err != nil {
		return err
	}
	conn := pooled.Conn()
	reader := client.AcquireReader(conn)
	defer client.ReleaseReader(reader)
	if err := conn.SetDeadline(deadline); err != nil {
		client.CloseConn(pooled)
		return err
	}
	if err := exchange(client, conn, reader, request, response); err != nil {
		client.CloseConn(pooled)
		return err
	}
	if request.ConnectionClose() || response.ConnectionClose() || reader.Buffered() > 0 {
		client.CloseConn(pooled)
	} else {
		client.ReleaseConn(pooled)
	}
	return nil
}

// exchange sends a request and reads the response.
func exchange(client *fasthttp.HostClient, conn net.Conn, reader *bufio.Reader, request *fasthttp.Request, response *fasthttp.Response) error {
	writer := client.AcquireWriter(conn)
	defer client.ReleaseWriter(writer)
	if err := request.Write(writer); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	if err := ReadHead(reader, &response.Header); err != nil {
		return err
	}
	if !HasBody(string(request.Header.Method()), response.StatusCode()) {
		return nil
	}
	return readBody(reader, response, client.MaxResponseBodySize)
}

// readBody reads the body of a response, which may have at most maxBytes.
func readBody(reader *bufio.Reader, response *fasthttp.Response, maxBytes int) error {
	body, err := io.ReadAll(io.LimitReader(NewBody(reader, &response.Header), int64(maxBytes)+1))
	if err != nil {
		return err
	}
	if len(body) > maxBytes {
		return fasthttp.ErrBodyTooLarge
	}
	response.SetBodyRaw(body)
	return nil
}
