// Package measure is a load generator for a running entry host. It measures the latency that the host adds to that of a
// backend server, and the processor time and memory that the host uses.
package measure

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"sync"
	"time"

	"briarcroft/internal/entry"
	"briarcroft/internal/operator"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("measure").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrNoStatus reports that the status of a host could not be read.
var ErrNoStatus = namespace.NewType("host")

// Config configures a measurement.
type Config struct {
	// EntryHost is the address of the entry host, and Backend that of a backend server to compare with.
	EntryHost string
	Backend   string
	// Path is the path of the requests.
	Path string
	// Duration is how long requests are sent at each rate, first to the backend server and then to the entry host.
	Duration time.Duration
	// Seed is the seed of the random times between requests.
	Seed uint64
}

// Latency holds quantiles of the time until a response was complete, in microseconds. Count is the number of responses
// with status 200 that they cover, Failed that of all other requests.
type Latency struct {
	P50, P99, P999 int64
	Count          int64
	Failed         int64
}

// Step is the result of the measurement at one rate.
type Step struct {
	// Rate is in requests per second.
	Rate int
	// Direct is the latency of requests sent to the backend server, and Through that of requests sent to the entry host.
	Direct  Latency
	Through Latency
	// CorePerRequest is the processor time that the host used per request.
	CorePerRequest time.Duration
	// AllocationsPerRequest is the number of heap objects that the host allocated per request.
	AllocationsPerRequest float64
	// HeapBytes is the memory of the host's heap objects after the measurement, including garbage that is not freed yet.
	HeapBytes uint64
}

// maxConnections limits the open connections to the entry host or backend server.
const maxConnections = 256

// Run measures at one rate, in requests per second. Errors are ErrNoStatus.
func Run(ctx context.Context, c Config, rate int) (Step, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections, MaxConnsPerHost: maxConnections, DisableCompression: true}
	defer transport.CloseIdleConnections()
	step := Step{Rate: rate}
	step.Direct = sendLoad(ctx, transport, c, c.Backend, rate)
	before, err := processStatus(ctx, c.EntryHost)
	if err != nil {
		return step, err
	}
	step.Through = sendLoad(ctx, transport, c, c.EntryHost, rate)
	after, err := processStatus(ctx, c.EntryHost)
	if err != nil {
		return step, err
	}
	requests := max(1, step.Through.Count)
	step.CorePerRequest = (after.Core - before.Core) / time.Duration(requests)
	step.AllocationsPerRequest = float64(after.Allocations-before.Allocations) / float64(requests)
	step.HeapBytes = after.HeapBytes
	return step, nil
}

// processStatus returns the resource usage of the process of a host.
func processStatus(ctx context.Context, host string) (entry.ProcessStatus, error) {
	client, closeClient := operator.New(operator.Config{Hosts: []string{host}, Timeout: 5 * time.Second})
	defer closeClient()
	status := client.Status(ctx)[0]
	if status.Error != "" {
		return entry.ProcessStatus{}, ErrNoStatus.New("%s: %s", host, status.Error)
	}
	return status.Status.Process, nil
}

// sendLoad sends requests to an address as a Poisson process. A latency is measured from the time at which the request
// was due, not sent, so that delays in sending it count as well (no coordinated omission).
func sendLoad(ctx context.Context, transport *http.Transport, c Config, address string, rate int) Latency {
	random := rand.New(rand.NewPCG(c.Seed, uint64(rate)))
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var failed int64
	var group sync.WaitGroup
	start := time.Now()
	for due := time.Duration(0); due < c.Duration; due += time.Duration(random.ExpFloat64() / float64(rate) * float64(time.Second)) {
		sleepUntil(ctx, start.Add(due))
		if ctx.Err() != nil {
			break
		}
		group.Go(func() {
			ok := sendRequest(ctx, transport, "http://"+address+c.Path)
			latency := time.Since(start.Add(due))
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				failed++
				return
			}
			// RecordValue fails above a minute, which is longer than a measurement is expected to take.
			_ = histogram.RecordValue(max(1, latency.Microseconds()))
		})
	}
	group.Wait()
	return Latency{
		histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(99), histogram.ValueAtQuantile(99.9), histogram.TotalCount(), failed,
	}
}

// spinDuration is the last part of a wait that is spent in a busy loop, because timers fire up to a millisecond late.
const spinDuration = 1500 * time.Microsecond

// sleepUntil waits until a time, more exactly than a timer does.
func sleepUntil(ctx context.Context, until time.Time) {
	sleep(ctx, time.Until(until)-spinDuration)
	for time.Now().Before(until) {
		runtime.Gosched()
	}
}

// sleep waits for a duration or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// sendRequest reports whether a complete response with status 200 was received.
func sendRequest(ctx context.Context, transport *http.Transport, url string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := transport.RoundTrip(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.Body.Close() == nil && response.StatusCode == http.StatusOK
}
