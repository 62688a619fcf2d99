package route

import (
	"time"

	"auburngap/request"
)

const (
	// minWarmFraction is the fraction of its slots that a server starts with.
	minWarmFraction = 0.1
	// maxLatencyPenalty bounds the penalty of a slow server, so that it still gets calls
	// that can show that it has recovered.
	maxLatencyPenalty = 4
	// latencyWeight is the weight of the newest latency in the moving averages.
	latencyWeight = 0.1
	// outcomeWeight is the weight of the newest outcome in the moving average of one
	// server, and meanOutcomeWeight that in the average of all servers.
	outcomeWeight     = 0.2
	meanOutcomeWeight = 0.05
	// failurePenaltyWeight is the increase of the utilization estimate, as a multiple of
	// it, for a server that always fails while others never do.
	failurePenaltyWeight = 10
	// maxEjectionDoublings bounds the length of an ejection.
	maxEjectionDoublings = 5
)

// server is a target with the state that this node has observed.
type server struct {
	target *Target
	// listed is false once the directory has dropped the server.
	listed bool
	// generation is the picker's generation at the last Update that listed the server.
	generation uint64
	// inFlight counts this node's own calls.
	inFlight request.Occupancy
	// othersLoad is the load of other nodes: that of the last report without this node's
	// own calls.
	othersLoad request.Occupancy
	reportedAt time.Time
	// limit is the concurrency limit that the server's node last reported; zero if
	// unknown.
	limit int
	// latency is a moving average.
	latency   time.Duration
	latencyAt time.Time
	// failureRate is the moving average of the fraction of the server's answers that
	// were failures.
	failureRate float64
	outcomeAt   time.Time
	// slowStartAt is the start of the server's slow start.
	slowStartAt time.Time

	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
	drainingUntil       time.Time
	// unreachableUntil is when an unreachable server may be tried again.
	unreachableUntil time.Time
}

// recordLoad records a reported load, without this node's own calls.
func (s *server) recordLoad(now time.Time, load request.Occupancy) {
	for p := range load {
		s.othersLoad[p] = max(0, load[p]-s.inFlight[p])
	}
	s.reportedAt = now
}

// recordOverload records that the server has no free slot for calls of the priority
// and for less important ones.
func (s *server) recordOverload(now time.Time, priority request.Priority) {
	for p := priority; p < request.Priorities; p++ {
		s.othersLoad[p] = max(0, s.target.Slots-s.inFlight[p])
	}
	s.reportedAt = now
}

// isAvailable reports whether the server may get new work.
func (s *server) isAvailable(now time.Time) bool {
	return !s.isDraining(now) && !now.Before(s.unavailableUntil())
}

// unavailableUntil returns when an ejected or unreachable server may get new work again.
func (s *server) unavailableUntil() time.Time {
	if s.unreachableUntil.After(s.ejectedUntil) {
		return s.unreachableUntil
	}
	return s.ejectedUntil
}

// isDraining reports whether the server is draining, according to the directory or to
// the server's own refusal.
func (s *server) isDraining(now time.Time) bool {
	return s.target.Draining || now.Before(s.drainingUntil)
}

// utilization estimates the fraction of the server's slots that would be in use if it
// got one more call of the priority. It counts only calls that are at least as
// important, since less important calls yield to it in the queue. The estimate is
// raised for cold, slow and failing servers.
func (s *server) utilization(now time.Time, p *Picker, priority request.Priority) float64 {
	c := &p.config
	load := 1 + s.inFlight[priority]
	if now.Sub(s.reportedAt) < c.ReportTTL {
		load += s.othersLoad[priority]
	}
	penalty := s.latencyPenalty(now, c, p.latency) * s.failurePenalty(now, c, p.failureRate)
	return float64(load) * penalty / (s.slots() * s.warmFraction(now, c))
}

// canForget reports whether the state of a dropped server can be deleted: nothing
// in it would matter if the directory listed the server again.
func (s *server) canForget(now time.Time) bool {
	return s.inFlight.Total() == 0 && !now.Before(s.drainingUntil) && !now.Before(s.unavailableUntil())
}

func (s *server) slots() float64 {
	slots := max(1, s.target.Slots)
	if s.limit > 0 {
		slots = min(slots, s.limit)
	}
	return float64(slots)
}

// warmFraction returns the usable fraction of the slots, which grows from
// minWarmFraction to 1 over the slow start.
func (s *server) warmFraction(now time.Time, c *Config) float64 {
	age := now.Sub(s.slowStartAt)
	if age >= c.SlowStart {
		return 1
	}
	return minWarmFraction + (1-minWarmFraction)*float64(max(0, age))/float64(c.SlowStart)
}

// latencyPenalty returns the penalty factor of a server whose latency is above the
// service's mean. The penalty decays over ReportTTL, so that a recovered server gets
// calls again.
func (s *server) latencyPenalty(now time.Time, c *Config, mean time.Duration) float64 {
	if s.latency <= mean || mean <= 0 {
		return 1
	}
	ratio := min(float64(s.latency)/float64(mean), maxLatencyPenalty)
	return 1 + (ratio-1)*freshness(now.Sub(s.latencyAt), c)
}

// freshness falls from 1 to 0 as the age of an observation grows to ReportTTL.
func freshness(age time.Duration, c *Config) float64 {
	return max(0, 1-float64(age)/float64(c.ReportTTL))
}

// failurePenalty returns the penalty factor of a server whose failure rate is above
// the service's mean. It is relative to the mean because a failure in a downstream
// service occurs at all servers. The penalty decays over ReportTTL.
func (s *server) failurePenalty(now time.Time, c *Config, mean float64) float64 {
	if s.failureRate <= mean {
		return 1
	}
	return 1 + failurePenaltyWeight*(s.failureRate-mean)*freshness(now.Sub(s.outcomeAt), c)
}

// observeOutcome records whether the server failed a call: 1 if so, else 0.
func (s *server) observeOutcome(now time.Time, failed float64) {
	s.failureRate += outcomeWeight * (failed - s.failureRate)
	s.outcomeAt = now
}

func (s *server) observeLatency(now time.Time, latency time.Duration) {
	s.latency = movingAverage(s.latency, latency)
	s.latencyAt = now
}

func movingAverage(mean, latest time.Duration) time.Duration {
	if mean == 0 {
		return latest
	}
	return mean + time.Duration(latencyWeight*float64(latest-mean))
}

// resetFailures resets the counts of consecutive failures and ejections.
func (s *server) resetFailures() {
	s.consecutiveFailures = 0
	s.ejections = 0
}

// eject removes the server from the choice for a time that doubles with each ejection.
// It returns with a slow start.
func (s *server) eject(now time.Time, c *Config) {
	s.ejectedUntil = now.Add(c.BaseEjectionTime << min(s.ejections, maxEjectionDoublings))
	s.slowStartAt = s.ejectedUntil
	s.ejections++
	s.consecutiveFailures = 0
}
