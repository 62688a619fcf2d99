// Package load sends requests at a fixed rate that doesn't depend on the answers
// (open loop). It measures the latency of each request from the time when the
// request was due.
//
// # Usage
//
//	result, err := load.Run(ctx, load.Config{URL: url, Rate: 500, Duration: 10 * time.Second})
//	fmt.Println(result.Latency.ValueAtQuantile(99))
//
// The latency of a request that could not be sent in time is also measured from the
// time when it was due, so that a slow server cannot hide its latency (no
// coordinated omission).
package load

import (
	"context"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/joomcode/errorx"
	"github.com/valyala/fasthttp"

	"auburngap/httpconn"
)

const (
	// The range of the latency histogram and its precision in significant digits.
	minMicros = 1
	maxMicros = int64(60 * time.Second / time.Microsecond)
	digits    = 3

	requestTimeout = 30 * time.Second
	maxRate        = 100_000
	maxDuration    = 10 * time.Minute
	// preciseWait is how long before a request is due the precise wait begins.
	preciseWait = 2 * time.Millisecond
	// maxInFlight limits the requests in flight.
	maxInFlight = 4096
)

var (
	errs = errorx.NewNamespace("load")
	// ErrConfig means that the load would be unbounded or would not go to loopback.
	ErrConfig = errs.NewType("config")
)

// Config describes the load.
type Config struct {
	// Address is the caller address of the node, on loopback.
	Address netip.AddrPort
	Path    string
	Method  string
	// Key is the caller's key; empty sends none.
	Key string
	// Headers are sent with each request.
	Headers map[string]string
	// MakeHeaders returns further headers for each request; it may be nil.
	MakeHeaders func() map[string]string
	// Rate is in requests a second.
	Rate     float64
	Duration time.Duration
}

// Result holds the measurements of a load.
type Result struct {
	// Latency is in microseconds.
	Latency *hdrhistogram.Histogram
	// Statuses counts answers by HTTP status; 0 counts requests that failed without
	// an answer, such as on a broken connection.
	Statuses map[int]int
	// Causes counts refusals by cause.
	Causes map[string]int
	// Unsent counts requests that were not sent because maxInFlight requests were
	// in flight when they were due.
	Unsent int
}

func (c *Config) validate() error {
	switch {
	case !c.Address.Addr().IsLoopback():
		return ErrConfig.New("the address must be on loopback")
	case !(c.Rate > 0 && c.Rate <= maxRate):
		return ErrConfig.New("the rate must be above 0 and at most %d", maxRate)
	case c.Duration <= 0 || c.Duration > maxDuration:
		return ErrConfig.New("the duration must be above 0 and at most %s", maxDuration)
	}
	return nil
}

// runner sends one load.
type runner struct {
	config Config
	client fasthttp.HostClient
	slots  chan struct{}

	mu     sync.Mutex
	result Result
}

// Run sends the load and waits for all answers.
func Run(ctx context.Context, config Config) (*Result, error) {
	if err := config.validate(); err != nil {
		return nil, err
	}
	r := &runner{
		config: config,
		client: fasthttp.HostClient{
			Addr:                      config.Address.String(),
			MaxConns:                  maxInFlight,
			ReadTimeout:               requestTimeout,
			MaxIdemponentCallAttempts: 1,
		},
		slots: make(chan struct{}, maxInFlight),
		result: Result{
			Latency:  hdrhistogram.New(minMicros, maxMicros, digits),
			Statuses: make(map[int]int),
			Causes:   make(map[string]int),
		},
	}
	r.run(ctx)
	return &r.result, nil
}

func (r *runner) run(ctx context.Context) {
	var group sync.WaitGroup
	interval := time.Duration(float64(time.Second) / r.config.Rate)
	start := time.Now()
	for due := start; due.Sub(start) < r.config.Duration && ctx.Err() == nil; due = due.Add(interval) {
		sleepUntil(due)
		select {
		case r.slots <- struct{}{}:
			group.Go(func() {
				r.send(due)
				<-r.slots
			})
		default:
			r.countUnsent()
		}
	}
	group.Wait()
}

// sleepUntil sleeps until due. time.Sleep alone returns up to 1 ms late in a process
// that is otherwise idle, because the runtime's poller waits whole milliseconds.
func sleepUntil(due time.Time) {
	// Let the goroutine of the previous request run first.
	runtime.Gosched()
	time.Sleep(time.Until(due) - preciseWait)
	for rest := time.Until(due); rest > 0; rest = time.Until(due) {
		wait := syscall.NsecToTimespec(rest.Nanoseconds())
		// A signal may end the wait early.
		_ = syscall.Nanosleep(&wait, nil)
	}
}

func (r *runner) countUnsent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Unsent++
}

func (r *runner) send(due time.Time) {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	r.fill(request)
	status := 0
	if err := r.client.Do(request, response); err == nil {
		status = response.StatusCode()
	}
	r.record(time.Since(due), status, string(response.Header.Peek(httpconn.HeaderCause)))
}

func (r *runner) fill(request *fasthttp.Request) {
	request.SetRequestURI("http://" + r.config.Address.String() + r.config.Path)
	request.Header.SetMethod(r.config.Method)
	if r.config.Key != "" {
		request.Header.Set(httpconn.HeaderKey, r.config.Key)
	}
	for name, value := range r.config.Headers {
		request.Header.Set(name, value)
	}
	if r.config.MakeHeaders == nil {
		return
	}
	for name, value := range r.config.MakeHeaders() {
		request.Header.Set(name, value)
	}
}

func (r *runner) record(latency time.Duration, status int, cause string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A latency beyond the histogram's range is recorded as its maximum.
	_ = r.result.Latency.RecordValue(min(latency.Microseconds(), maxMicros))
	r.result.Statuses[status]++
	if cause != "" {
		r.result.Causes[cause]++
	}
}
