package fake

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/valyala/fasthttp"

	"auburngap/kv"
)

// The paths of the admin calls of the fake over HTTP. Faults don't affect them.
const (
	PathFaults = "/admin/faults"
	PathLapse  = "/admin/lapse"
	PathCounts = "/admin/counts"
	PathPeak   = "/admin/peak"
)

// LapseRequest selects the leases that expire at once.
type LapseRequest struct {
	Lease kv.LeaseID `json:"lease,omitempty"`
	// Prefix selects the leases of all entries under it if Lease is zero.
	Prefix string `json:"prefix,omitempty"`
}

func (h handler) admin(path string, body []byte) (any, error) {
	switch path {
	case PathFaults:
		faults, err := parse[Faults](body)
		if err != nil {
			return nil, err
		}
		h.service.SetFaults(faults)
		return struct{}{}, nil
	case PathLapse:
		request, err := parse[LapseRequest](body)
		if err != nil {
			return nil, err
		}
		h.lapse(request)
		return struct{}{}, nil
	case PathCounts:
		return h.service.Counts(), nil
	case PathPeak:
		return h.service.Peak(), nil
	default:
		return nil, kv.ErrNotFound.New("unknown path %s", path)
	}
}

func (h handler) lapse(request LapseRequest) {
	if request.Lease != 0 {
		h.service.Lapse(request.Lease)
		return
	}
	h.service.LapsePrefix(request.Prefix)
}

// Admin is a client of the admin calls of a fake in another process.
type Admin struct {
	Address netip.AddrPort
}

// SetFaults replaces the faults.
func (a Admin) SetFaults(ctx context.Context, faults Faults) error {
	return a.post(ctx, PathFaults, faults, &struct{}{})
}

// Lapse ends leases at once.
func (a Admin) Lapse(ctx context.Context, request LapseRequest) error {
	return a.post(ctx, PathLapse, request, &struct{}{})
}

// Counts returns the numbers of received calls.
func (a Admin) Counts(ctx context.Context) (Counts, error) {
	var counts Counts
	err := a.post(ctx, PathCounts, struct{}{}, &counts)
	return counts, err
}

// Peak returns the highest numbers of calls per second.
func (a Admin) Peak(ctx context.Context) (Peak, error) {
	var peak Peak
	err := a.post(ctx, PathPeak, struct{}{}, &peak)
	return peak, err
}

func (a Admin) post(ctx context.Context, path string, request, answer any) error {
	body, err := json.Marshal(request)
	if err != nil {
		return kv.ErrInvalid.Wrap(err, "cannot encode the request")
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(kv.DefaultTimeout)
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + a.Address.String() + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(body)
	if err := fasthttp.DoDeadline(req, resp, deadline); err != nil {
		return kv.ErrUnavailable.Wrap(err, "no answer to %s", path)
	}
	if resp.StatusCode() != http.StatusOK {
		return kv.ErrInvalid.New("%s answered %d: %s", path, resp.StatusCode(), resp.Body())
	}
	return json.Unmarshal(resp.Body(), answer)
}
