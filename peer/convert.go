package peer

import (
	"time"

	"github.com/google/uuid"

	"auburngap/peer/peerpb"
	"auburngap/request"
)

func contextToMessage(c *request.Context, now time.Time) *peerpb.Context {
	return &peerpb.Context{
		Id:            c.ID[:],
		Workspace:     c.Workspace,
		Route:         c.Route,
		Priority:      uint32(c.Priority),
		TimeoutMicros: c.Deadline.Sub(now).Microseconds(),
		RetryBudget:   uint32(max(c.RetryBudget, 0)),
		Depth:         uint32(c.Depth),
		BundleVersion: c.BundleVersion,
		WasRepeated:   c.Repeated,
	}
}

func contextFromMessage(m *peerpb.Context, now time.Time) (request.Context, error) {
	id, err := uuid.FromBytes(m.GetId())
	if err != nil {
		return request.Context{}, ErrFrame.Wrap(err, "request ID")
	}
	if m.GetPriority() >= uint32(request.Priorities) {
		return request.Context{}, ErrFrame.New("priority %d", m.GetPriority())
	}
	return request.Context{
		ID:            id,
		Workspace:     m.GetWorkspace(),
		Route:         m.GetRoute(),
		Priority:      request.Priority(m.GetPriority()),
		Deadline:      now.Add(time.Duration(m.GetTimeoutMicros()) * time.Microsecond),
		RetryBudget:   int(m.GetRetryBudget()),
		Depth:         int(m.GetDepth()),
		BundleVersion: m.GetBundleVersion(),
		Repeated:      m.GetWasRepeated(),
	}, nil
}

func headersToMessage(headers []request.Header) []*peerpb.Header {
	if len(headers) == 0 {
		return nil
	}
	backing := make([]peerpb.Header, len(headers))
	messages := make([]*peerpb.Header, len(headers))
	for i, h := range headers {
		backing[i].Name = h.Name
		backing[i].Value = h.Value
		messages[i] = &backing[i]
	}
	return messages
}

func headersFromMessage(messages []*peerpb.Header) []request.Header {
	if len(messages) == 0 {
		return nil
	}
	headers := make([]request.Header, len(messages))
	for i, m := range messages {
		headers[i] = request.Header{Name: m.GetName(), Value: m.GetValue()}
	}
	return headers
}

func loadsToMessage(loads []request.ServiceLoad) *peerpb.Signal {
	if len(loads) == 0 {
		return nil
	}
	signal := &peerpb.Signal{Services: make([]*peerpb.ServiceLoad, len(loads))}
	for i, l := range loads {
		signal.Services[i] = &peerpb.ServiceLoad{
			Service:    l.Service,
			AdmitLevel: uint32(l.AdmitLevel),
			InFlight:   uint32(max(l.InFlight.Total(), 0)),
			Limit:      uint32(max(l.Limit, 0)),
			Draining:   l.Draining,

			InFlightByPriority: occupancyToMessage(l.InFlight),
		}
	}
	return signal
}

func loadsFromMessage(signal *peerpb.Signal) []request.ServiceLoad {
	services := signal.GetServices()
	if len(services) == 0 {
		return nil
	}
	loads := make([]request.ServiceLoad, len(services))
	for i, s := range services {
		loads[i] = request.ServiceLoad{
			Service:    s.GetService(),
			AdmitLevel: uint16(min(s.GetAdmitLevel(), 1<<16-1)),
			InFlight:   occupancyFromMessage(s),
			Limit:      int(s.GetLimit()),
			Draining:   s.GetDraining(),
		}
	}
	return loads
}

func occupancyToMessage(o request.Occupancy) []uint32 {
	counts := make([]uint32, len(o)-1)
	for p := range counts {
		counts[p] = uint32(max(o[p], 0))
	}
	return counts
}

// occupancyFromMessage counts calls of unknown priority as the most important ones.
func occupancyFromMessage(load *peerpb.ServiceLoad) request.Occupancy {
	o := request.TopPriorityOccupancy(int(load.GetInFlight()))
	for p, count := range load.GetInFlightByPriority() {
		if p < len(o)-1 {
			o[p] = int(min(count, load.GetInFlight()))
		}
	}
	return o
}

func refusalToMessage(r *request.Refusal) *peerpb.Refusal {
	return &peerpb.Refusal{
		Cause:            uint32(r.Cause),
		Outcome:          uint32(r.Outcome),
		RetryAfterMicros: r.RetryAfter.Microseconds(),
		Signal:           loadsToMessage(r.Report.Loads),
		UnspentRetries:   uint32(max(r.Report.UnspentRetries, 0)),
		CallsBelow:       uint32(max(r.Report.DownstreamCalls, 0)),
		ByBackend:        r.ByBackend,
	}
}

func refusalFromMessage(m *peerpb.Refusal) *request.Refusal {
	refusal := request.Refuse(request.Cause(m.GetCause()), request.Outcome(m.GetOutcome()),
		time.Duration(m.GetRetryAfterMicros())*time.Microsecond)
	refusal.ByBackend = m.GetByBackend()
	refusal.Report = request.Report{
		UnspentRetries:  int(m.GetUnspentRetries()),
		DownstreamCalls: int(m.GetCallsBelow()),
		Loads:           loadsFromMessage(m.GetSignal()),
	}
	return refusal
}

// AnswerToMessage returns the head of an answer as a message.
func AnswerToMessage(answer *request.Answer) *peerpb.Answer {
	return &peerpb.Answer{
		Status:   uint32(answer.Status),
		Headers:  headersToMessage(answer.Headers),
		BodySize: answer.BodySize,
	}
}

// AnswerFromMessage returns an answer without its body.
func AnswerFromMessage(m *peerpb.Answer) *request.Answer {
	return &request.Answer{
		Status:   int(m.GetStatus()),
		Headers:  headersFromMessage(m.GetHeaders()),
		BodySize: m.GetBodySize(),
	}
}
