package node

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"auburngap/request"
)

// brokenAnswerInterval is the least time between two log lines about broken answers.
const brokenAnswerInterval = time.Second

// brokenAnswers counts the broken answers of the VM's backend server and logs some of
// them. It is safe for concurrent use.
type brokenAnswers struct {
	logger  *zap.Logger
	counter tally.Counter

	mu sync.Mutex
	// loggedAt is the time of the last line, and omitted the number of answers since then.
	loggedAt time.Time
	omitted  int
}

func newBrokenAnswers(logger *zap.Logger, scope tally.Scope) *brokenAnswers {
	return &brokenAnswers{logger: logger, counter: scope.Counter("broken_answers")}
}

// record counts a broken answer to a call, and logs it with its reason unless another one
// was logged within brokenAnswerInterval.
func (b *brokenAnswers) record(call *request.Call, reason error) {
	b.counter.Inc(1)
	omitted, isDue := b.countOmitted()
	if !isDue {
		return
	}
	b.logger.Warn("backend: broken answer",
		zap.String("reason", reason.Error()),
		zap.String("attempt", call.AttemptID),
		zap.Stringer("request", call.Context.ID),
		zap.String("service", call.Service),
		zap.Int("omitted", omitted))
}

// countOmitted reports whether a line is due, and returns the number of answers that were
// omitted since the last one.
func (b *brokenAnswers) countOmitted() (omitted int, isDue bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	if now.Sub(b.loggedAt) < brokenAnswerInterval {
		b.omitted++
		return 0, false
	}
	omitted, b.omitted, b.loggedAt = b.omitted, 0, now
	return omitted, true
}
