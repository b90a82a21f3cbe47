package demo

import (
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"briarcroft/internal/steering"
)

// runHeader is the response header field with the time that the request spent at the target, waiting and running, in
// microseconds. Callers subtract it from the latency to get the latency that the load balancer adds.
const runHeader = "Run-Microseconds"

// RunCounter counts how often each request with an Idempotency-Key was run, over all targets that share the counter.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunCounter returns a counter without runs.
func NewRunCounter() *RunCounter { return &RunCounter{runs: map[string]int{}} }

func (c *RunCounter) add(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key]++
}

// Runs returns the number of runs of the request with a key.
func (c *RunCounter) Runs(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

// DuplicatedKeys returns the number of keys whose requests ran more than once.
func (c *RunCounter) DuplicatedKeys() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, runs := range c.runs {
		if runs > 1 {
			n++
		}
	}
	return n
}

// TargetConfig configures a sample backend server.
type TargetConfig struct {
	// Listen is the address to listen on.
	Listen string
	// Slots is the number of requests that run concurrently. Further requests wait.
	Slots int
	// ServiceTime is the mean service time. Service times are log-normal, and ServiceTimeSigma is the standard deviation of
	// their natural logarithm.
	ServiceTime      time.Duration
	ServiceTimeSigma float64
	// ResponseBytes is the size of a response body.
	ResponseBytes int
	// RunCounter counts the runs of requests with an Idempotency-Key. It may be nil.
	RunCounter *RunCounter
	// Seed is the seed of the random service times.
	Seed uint64
}

// Target is a sample backend server. It runs a limited number of requests concurrently by sleeping for a random service
// time, and reports its load and whether it is draining.
type Target struct {
	config   TargetConfig
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	inFlight atomic.Int64
	draining atomic.Bool
	mu       sync.Mutex
	random   *rand.Rand
	// Requests and Probes count the requests and the health probes received.
	Requests atomic.Int64
	Probes   atomic.Int64
	// done receives the error with which the HTTP server ends.
	done chan error
}

// NewTarget starts a sample backend server. It returns the server and a function that stops it.
func NewTarget(c TargetConfig) (*Target, func(), error) {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, nil, err
	}
	t := &Target{
		config: c, listener: listener, slots: make(chan struct{}, c.Slots), random: rand.New(rand.NewPCG(c.Seed, 4)),
		done: make(chan error, 1),
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 5 * time.Second}
	go func() { t.done <- t.server.Serve(listener) }()
	return t, func() {
		// An error does no harm, because nothing else uses the listener.
		_ = t.server.Close()
		<-t.done
	}, nil
}

// Address returns the address on which the target listens.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Drain makes the target report that it is draining, that is, that it should get no new requests.
func (t *Target) Drain() { t.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/Report" {
		t.Probes.Add(1)
		t.writeLoadHeaders(w)
		return
	}
	t.Requests.Add(1)
	t.inFlight.Add(1)
	defer t.inFlight.Add(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	arrived := time.Now()
	t.slots <- struct{}{}
	if key := r.Header.Get("Idempotency-Key"); key != "" && t.config.RunCounter != nil {
		t.config.RunCounter.add(key)
	}
	time.Sleep(t.drawServiceTime())
	<-t.slots
	w.Header().Set(runHeader, strconv.FormatInt(time.Since(arrived).Microseconds(), 10))
	t.writeLoadHeaders(w)
	response := ExpectedResponse(r.URL.Path, body, t.config.ResponseBytes)
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	w.Header().Set("ETag", fmt.Sprintf("%q", strconv.Itoa(len(response))))
	// Write fails if the entry host has closed the connection; then nobody needs the response.
	_, _ = w.Write(response)
}

// writeLoadHeaders sets the header fields of a load report.
func (t *Target) writeLoadHeaders(w http.ResponseWriter) {
	w.Header().Set(steering.HeaderLoad, strconv.FormatInt(t.inFlight.Load(), 10))
	if t.draining.Load() {
		w.Header().Set(steering.HeaderDraining, "true")
	}
}

// drawServiceTime returns a random service time. The term -sigma²/2 makes the mean of the log-normal distribution
// equal to the configured one.
func (t *Target) drawServiceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := math.Exp(t.config.ServiceTimeSigma*t.random.NormFloat64() - t.config.ServiceTimeSigma*t.config.ServiceTimeSigma/2)
	return time.Duration(factor * float64(t.config.ServiceTime))
}

// ExpectedResponse returns the body of the response to a request, so that a caller can check what it received.
func ExpectedResponse(path string, body []byte, size int) []byte {
	h := fnv.New64a()
	// Write of a hash never returns an error.
	_, _ = h.Write([]byte(path))
	_, _ = h.Write(body)
	pattern := fmt.Sprintf("%s %016x\n", path, h.Sum64())
	response := make([]byte, 0, size+len(pattern))
	for len(response) < size {
		response = append(response, pattern...)
	}
	return response[:size]
}
