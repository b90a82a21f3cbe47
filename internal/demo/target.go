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

// runHeader tells how long a target took, in microseconds, so that the added latency can be told apart.
const runHeader = "Run-Microseconds"

// RunCounter counts how often each keyed request was run, over all targets.
type RunCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewRunCounter returns an empty ledger.
func NewRunCounter() *RunCounter { return &RunCounter{runs: map[string]int{}} }

func (c *RunCounter) add(key string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[key]++
}

// Runs returns how often the request with a key was run.
func (c *RunCounter) Runs(key string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[key]
}

// DuplicateRuns returns how many keys were run more than once.
func (c *RunCounter) DuplicateRuns() int {
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

// TargetConfig sets up a sample backend server.
type TargetConfig struct {
	Listen string
	Slots  int
	// ServiceTime is the mean time of a run and Spread the standard deviation of its logarithm.
	ServiceTime      time.Duration
	ServiceTimeSigma float64
	// ResponseBytes is the size of an answer.
	ResponseBytes int
	RunCounter    *RunCounter
	Seed          uint64
}

// Target is a sample backend server: it runs requests in slots, reports its load and drains when asked.
type Target struct {
	config   TargetConfig
	listener net.Listener
	server   *http.Server
	slots    chan struct{}
	inFlight atomic.Int64
	draining atomic.Bool
	mu       sync.Mutex
	random   *rand.Rand
	Requests atomic.Int64
	Probes   atomic.Int64
	done     chan error
}

// NewTarget starts a sample backend server and returns the function that stops it.
func NewTarget(c TargetConfig) (*Target, func(), error) {
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, nil, err
	}
	t := &Target{
		config: c, listener: listener, slots: make(chan struct{}, c.Slots), random: rand.New(rand.NewPCG(c.Seed, 4)), done: make(chan error, 1),
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 5 * time.Second}
	go func() { t.done <- t.server.Serve(listener) }()
	return t, func() {
		// The listener is this target's own; there is nothing to do about an error.
		_ = t.server.Close()
		<-t.done
	}, nil
}

// Address returns where the target listens.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Drain makes the target report that it is leaving.
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
	// The entry host went away if this fails.
	_, _ = w.Write(response)
}

func (t *Target) writeLoadHeaders(w http.ResponseWriter) {
	w.Header().Set(steering.HeaderLoad, strconv.FormatInt(t.inFlight.Load(), 10))
	if t.draining.Load() {
		w.Header().Set(steering.HeaderDraining, "true")
	}
}

func (t *Target) drawServiceTime() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	factor := math.Exp(t.config.ServiceTimeSigma*t.random.NormFloat64() - t.config.ServiceTimeSigma*t.config.ServiceTimeSigma/2)
	return time.Duration(factor * float64(t.config.ServiceTime))
}

// ExpectedResponseResponse returns the whole answer to a request, which its caller can check.
func ExpectedResponse(path string, body []byte, size int) []byte {
	h := fnv.New64a()
	// A hash never fails to write.
	_, _ = h.Write([]byte(path))
	_, _ = h.Write(body)
	pattern := fmt.Sprintf("%s %016x\n", path, h.Sum64())
	response := make([]byte, 0, size+len(pattern))
	for len(response) < size {
		response = append(response, pattern...)
	}
	return response[:size]
}
