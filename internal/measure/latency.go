// Package measure sends load to a running entry host and reads what the host spent on it.
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

// ErrNoStatus reports a host that gave no figures.
var ErrNoStatus = namespace.NewType("host")

// Config says what to measure.
type Config struct {
	// EntryHost is an entry host's address and Direct a backend server's.
	EntryHost string
	Backend   string
	Path      string
	// Duration is how long each rate is held.
	Duration time.Duration
	Seed     uint64
}

// Latency is the time to a whole answer, in microseconds.
type Latency struct {
	P50, P99, P999 int64
	Count          int64
	Failed         int64
}

// Step is what one rate gave, through the host and direct.
type Step struct {
	Rate    int
	Direct  Latency
	Through Latency
	// CorePerRequest is the host's processor time for one request.
	CorePerRequest time.Duration
	// AllocationsPerRequest counts the host's allocations.
	AllocationsPerRequest float64
	HeapBytes             uint64
}

// maxConnections is how many connections a load keeps open at the most.
const maxConnections = 256

// Run holds one rate, first direct and then through the host; errors are ErrNoStatus.
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

// processStatus reads what a host's process has used.
func processStatus(ctx context.Context, host string) (entry.ProcessStatus, error) {
	client, closeClient := operator.New(operator.Config{Hosts: []string{host}, Timeout: 5 * time.Second})
	defer closeClient()
	status := client.Status(ctx)[0]
	if status.Error != "" {
		return entry.ProcessStatus{}, ErrNoStatus.New("%s: %s", host, status.Error)
	}
	return status.Status.Process, nil
}

// sendLoad sends a Poisson stream; each latency counts from the instant at which the request was due.
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
			// The run is shorter than what the histogram holds.
			_ = histogram.RecordValue(max(1, latency.Microseconds()))
		})
	}
	group.Wait()
	return Latency{
		histogram.ValueAtQuantile(50), histogram.ValueAtQuantile(99), histogram.ValueAtQuantile(99.9), histogram.TotalCount(), failed,
	}
}

// spinDuration is the last part of a wait that is spent awake, since timers are late by up to a millisecond.
const spinDuration = 1500 * time.Microsecond

// sleepUntil waits for an instant more exactly than a timer does.
func sleepUntil(ctx context.Context, until time.Time) {
	sleep(ctx, time.Until(until)-spinDuration)
	for time.Now().Before(until) {
		runtime.Gosched()
	}
}

// sleep sleeps unless the time has come already.
func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

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
