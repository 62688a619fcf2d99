package node

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"auburngap/caller"
	"auburngap/request"
	"auburngap/route"
)

// logRequest logs how a request of a caller ended and what decided it.
func (h *Hosted) logRequest(sample caller.Sample) {
	logger, message := h.logger, "caller: refused"
	if sample.Refusal == nil {
		logger, message = h.loggerFor(sample.Status), "caller: answered"
	}
	line := logger.Check(zap.InfoLevel, message)
	if line == nil {
		return // it is sampled away
	}
	confirmedAt, _ := h.follower.ConfirmedAt()
	fields := []zap.Field{
		zap.String("attempt", sample.AttemptID),
		zap.Stringer("request", sample.Context.ID),
		zap.String("route", sample.Context.Route),
		zap.String("service", sample.Service),
		zap.String("workspace", sample.Context.Workspace),
		zap.Uint8("priority", uint8(sample.Context.Priority)),
		zap.Int("depth", sample.Context.Depth),
		zap.Uint64("version", sample.Context.BundleVersion),
		zap.Duration("wordAge", h.boot.Now()-confirmedAt),
		zap.Duration("took", sample.Duration),
	}
	if sample.Refusal == nil {
		line.Write(append(fields, zap.Int("status", sample.Status))...)
		return
	}
	fields = append(fields,
		zap.Stringer("cause", sample.Refusal.Cause),
		zap.Stringer("outcome", sample.Refusal.Outcome),
		zap.Duration("retryAfter", sample.Refusal.RetryAfter))
	if rate := sample.Refusal.Rate; rate != nil {
		fields = append(fields, rateFields(rate)...)
	}
	line.Write(fields...)
}

// rateFields are the fields of a line about a request that was refused for its
// workspace's rate.
func rateFields(rate *request.RateDecision) []zap.Field {
	return []zap.Field{
		zap.Float64("rate", rate.Rate),
		zap.Float64("burst", rate.Burst),
		zap.Float64("tokens", rate.Tokens),
		zap.Float64("portion", rate.Portion),
		zap.Duration("portionAge", rate.PortionAge),
		zap.String("decidedBy", rate.DecidedBy),
	}
}

// loggerFor returns the logger for an answer with a status.
func (h *Hosted) loggerFor(status int) *zap.Logger {
	if status >= http.StatusInternalServerError {
		return h.logger
	}
	return h.config.Loggers.Routine
}

// logAnswer logs which backend server answered a call, and at which attempt.
func (h *Hosted) logAnswer(call *request.Call, choice *route.Choice, answer *request.Answer, attempt int) {
	line := h.loggerFor(answer.Status).Check(zap.InfoLevel, "route: answered")
	if line == nil {
		return // it is sampled away
	}
	line.Write(
		zap.String("attempt", call.AttemptID),
		zap.Stringer("request", call.Context.ID),
		zap.String("service", call.Service),
		zap.String("target", choice.Target.VM),
		zap.Int("status", answer.Status),
		zap.Int("number", attempt),
		zap.Duration("left", time.Until(call.Context.Deadline)))
}

// logAttempt logs an attempt that got no answer from a backend server, or a
// failed answer that is not passed on, and what is done next.
func (h *Hosted) logAttempt(call *request.Call, choice *route.Choice, refusal *request.Refusal, next string) {
	fields := []zap.Field{
		zap.String("attempt", call.AttemptID),
		zap.Stringer("request", call.Context.ID),
		zap.String("service", call.Service),
		zap.Stringer("cause", refusal.Cause),
		zap.Stringer("outcome", refusal.Outcome),
		zap.Bool("byBackend", refusal.ByBackend),
		zap.Duration("left", time.Until(call.Context.Deadline)),
		zap.String("next", next),
	}
	if choice != nil {
		fields = append(fields, zap.String("target", choice.Target.VM))
	}
	for _, load := range refusal.Report.Loads {
		if load.Service == call.Service {
			fields = append(fields, zap.Int("inFlight", load.InFlight.Total()), zap.Int("limit", load.Limit),
				zap.Uint16("admitLevel", load.AdmitLevel))
		}
	}
	h.logger.Info("route: no answer", fields...)
}
