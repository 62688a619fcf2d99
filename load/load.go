// Package load sends requests at a stated rate whatever the answers do (open
// loop) and measures how long each took from when it was due.
//
// # Usage
//
//	result, err := load.Run(ctx, load.Config{URL: url, Rate: 500, Duration: 10 * time.Second})
//	fmt.Println(result.Latency.ValueAtQuantile(99))
//
// A request that could not be sent in time counts from when it was due, so that
// a slow server cannot hide its latency (no coordinated omission).
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
	// The range of latencies that are told apart, and to how many digits.
	lowestMicros  = 1
	highestMicros = int64(60 * time.Second / time.Microsecond)
	digits        = 3

	requestTimeout = 30 * time.Second
	maxRate        = 100_000
	maxDuration    = 10 * time.Minute
	// coarseSleep is how long before a request is due the exact wait begins.
	coarseSleep = 2 * time.Millisecond
	// maxInFlight bounds the requests that wait at once.
	maxInFlight = 4096
)

var (
	errs = errorx.NewNamespace("load")
	// ErrConfig means that the load would not be bounded or not on loopback.
	ErrConfig = errs.NewType("config")
)

// Config says what to send.
type Config struct {
	// Address is the node, on loopback.
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

// Result is what came of a load.
type Result struct {
	// Latency is in microseconds.
	Latency *hdrhistogram.Histogram
	// Statuses counts answers by HTTP status; 0 counts broken connections.
	Statuses map[int]int
	// Causes counts refusals by cause.
	Causes map[string]int
	// Unsent counts requests that were due while too many waited.
	Unsent int
}

func (c *Config) check() error {
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

// runner is one load under way.
type runner struct {
	config Config
	client fasthttp.HostClient
	slots  chan struct{}

	mu     sync.Mutex
	result Result
}

// Run sends the load and waits for all answers.
func Run(ctx context.Context, config Config) (*Result, error) {
	if err := config.check(); err != nil {
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
			Latency:  hdrhistogram.New(lowestMicros, highestMicros, digits),
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
			r.unsent()
		}
	}
	group.Wait()
}

// sleepUntil returns at due and not up to 1 ms later, as time.Sleep does in a
// process that is otherwise idle: the runtime's poller waits whole milliseconds.
func sleepUntil(due time.Time) {
	// The request that was begun last goes first.
	runtime.Gosched()
	time.Sleep(time.Until(due) - coarseSleep)
	for rest := time.Until(due); rest > 0; rest = time.Until(due) {
		wait := syscall.NsecToTimespec(rest.Nanoseconds())
		// A signal may end the wait sooner.
		_ = syscall.Nanosleep(&wait, nil)
	}
}

func (r *runner) unsent() {
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
	// A latency beyond the histogram's range counts as its highest.
	_ = r.result.Latency.RecordValue(min(latency.Microseconds(), highestMicros))
	r.result.Statuses[status]++
	if cause != "" {
		r.result.Causes[cause]++
	}
}
