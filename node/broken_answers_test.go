package node

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"gotest.tools/v3/assert"

	"auburngap/request"
)

// TestBrokenAnswersLog guards against a backend server whose broken answers fill the log:
// all are counted, and one line a second names the reason of one.
func TestBrokenAnswersLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, lines := observer.New(zap.InfoLevel)
		scope := tally.NewTestScope("", nil)
		b := newBrokenAnswers(zap.New(core), scope)
		call := &request.Call{Service: "tracking", AttemptID: "a1"}
		for range 3 {
			for range 100 {
				b.record(call, errors.New("name of a field"))
			}
			time.Sleep(brokenAnswerInterval)
		}
		assert.Equal(t, scope.Snapshot().Counters()["broken_answers+"].Value(), int64(300))
		assert.Equal(t, lines.Len(), 3)
		for i, line := range lines.All() {
			assert.Equal(t, line.Message, "backend: broken answer")
			fields := line.ContextMap()
			assert.Equal(t, fields["reason"], "name of a field")
			assert.Equal(t, fields["attempt"], "a1")
			assert.Equal(t, fields["omitted"], []int64{0, 99, 99}[i])
		}
	})
}
