package e2e

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"
)

// reply is what a caller receives.
type reply struct {
	status  int
	body    string
	outcome string
	cause   string
	id      string
	// sent and answered are wall-clock times.
	sent, answered time.Time
}

func (w *testSite) send(address netip.AddrPort, method, path, key, body string, headers ...string) reply {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI(fmt.Sprintf("http://%s%s", address, path))
	request.Header.SetMethod(method)
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	request.SetBodyString(body)
	sent := time.Now()
	if err := w.client.Do(request, response); err != nil {
		return reply{cause: err.Error(), sent: sent, answered: time.Now()}
	}
	return reply{
		sent: sent, answered: time.Now(),
		status:  response.StatusCode(),
		body:    string(response.Body()),
		outcome: string(response.Header.Peek("Auburngap-Outcome")),
		cause:   string(response.Header.Peek("Auburngap-Cause")),
		id:      string(response.Header.Peek("Auburngap-Request-Id")),
	}
}
