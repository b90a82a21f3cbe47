package demo

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"text/tabwriter"
	"time"

	"briarcroft/internal/caller"
	"briarcroft/internal/claim"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// outcome is the outcome of a request.
type outcome int

const (
	// completed means that the expected response was received.
	completed outcome = iota
	// notRun means that the request was refused and did not run.
	notRun
	// lost means that the request ended with an error or an unexpected response, or that it must run at most once and was
	// answered with status 200 although no target ran it.
	lost
	// duplicated means that a request which must run at most once ran more than once. It is printed as Doubled.
	duplicated
	// truncated means that the status is 200 but the body differs from the expected one. It is printed as Cut.
	truncated
)

// classify determines the outcome of a request from its response and from how often targets ran it.
func (f *fleet) classify(workload Workload, r caller.Request, response caller.Response, err error) outcome {
	runs := 0
	for _, key := range response.IdempotencyKeys {
		runs += f.runCounter.Runs(key)
	}
	switch {
	case workload.AtMostOnce && runs > 1:
		return duplicated
	case err != nil:
		return lost
	case response.Status == http.StatusOK && !bytes.Equal(response.Body, ExpectedResponse(r.Path, r.Body, workload.ResponseBytes)):
		return truncated
	case response.Status == http.StatusOK && workload.AtMostOnce && runs != 1:
		return lost
	case response.Status == http.StatusOK:
		return completed
	case response.Outcome == claim.NotRun && runs == 0:
		return notRun
	}
	return lost
}

// results holds the counts and times of a run.
type results struct {
	mu      sync.Mutex
	classes map[string]*classResults
	// noteDelay is the time from the publication of note 2 until it was in force on all hosts.
	noteDelay time.Duration
	// requestsAfterWithdrawal is the number of requests that the withdrawn target received after that.
	requestsAfterWithdrawal int64
	// stopDuration is how long an entry host took to stop gracefully.
	stopDuration time.Duration
}

// classResults holds the results of one class of requests.
type classResults struct {
	// counts is indexed by outcome.
	counts  [truncated + 1]int64
	retries int64
	// latency is the latency of responses, and addedLatency that without the time spent at the target, in microseconds.
	latency      *hdrhistogram.Histogram
	addedLatency *hdrhistogram.Histogram
}

func newResults() *results { return &results{classes: map[string]*classResults{}} }

// record adds the outcome of a request to the results of its class.
func (r *results) record(workload Workload, response caller.Response, err error, latency time.Duration, o outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[workload.Class]
	if c == nil {
		c = &classResults{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), addedLatency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
		r.classes[workload.Class] = c
	}
	c.counts[o]++
	c.retries += int64(max(0, response.Attempts-1))
	if err != nil {
		return
	}
	// RecordValue fails above a minute, which latencies do not reach, since requests time out after 10 s.
	_ = c.latency.RecordValue(latency.Microseconds())
	if runTime, err := strconv.ParseInt(response.Header.Get(runHeader), 10, 64); err == nil {
		_ = c.addedLatency.RecordValue(max(1, latency.Microseconds()-runTime))
	}
}

// requestCount returns the number of requests that have ended, whatever their outcome.
func (r *results) requestCount() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum int64
	for _, c := range r.classes {
		for _, n := range c.counts {
			sum += n
		}
	}
	return sum
}

// printResults prints the results and returns ErrCheckFailed if a check failed.
func (f *fleet) printResults(res *results) error {
	res.mu.Lock()
	defer res.mu.Unlock()
	var requests, failures int64
	table := tabwriter.NewWriter(f.config.Out, 2, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "Class\tCount\tAnswered\tNotRun\tLost\tDoubled\tCut\tResent\tP50 ms\tP99 ms\tP99.9 ms\tAdded P50 ms\tAdded P99 ms\t")
	for _, name := range sortedNames(res.classes) {
		c := res.classes[name]
		var sum int64
		for _, n := range c.counts {
			sum += n
		}
		requests += sum
		failures += c.counts[lost] + c.counts[duplicated] + c.counts[truncated]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", name, sum, c.counts[completed], c.counts[notRun],
			c.counts[lost], c.counts[duplicated], c.counts[truncated], c.retries, formatQuantile(c.latency, 50), formatQuantile(c.latency, 99), formatQuantile(c.latency, 99.9),
			formatQuantile(c.addedLatency, 50), formatQuantile(c.addedLatency, 99))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	var probes int64
	for _, target := range f.targets {
		probes += target.Probes.Load()
	}
	fmt.Fprintf(f.config.Out, "probes per request %.4f; keys run twice %d; requests to the withdrawn target after note 2 was in force %d\n",
		float64(probes)/float64(max(1, requests)), f.runCounter.DuplicatedKeys(), res.requestsAfterWithdrawal)
	for _, r := range f.hosts {
		fmt.Fprintf(f.config.Out, "%s: note %d in force\n", r.host.Name(), r.host.NoteNumber())
		if r.host.NoteNumber() != 2 {
			failures++
		}
	}
	if failures > 0 || f.runCounter.DuplicatedKeys() > 0 || res.requestsAfterWithdrawal > 0 {
		return ErrCheckFailed.New("%d requests were lost, doubled or cut, or a withdrawn target got requests, or hosts do not have note 2 in force; see the table", failures)
	}
	fmt.Fprintln(f.config.Out, "0 lost, 0 doubled, 0 cut")
	return nil
}

func sortedNames(classes map[string]*classResults) []string {
	var names []string
	for name := range classes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// formatQuantile returns a quantile of a histogram in microseconds, as milliseconds.
func formatQuantile(h *hdrhistogram.Histogram, q float64) string {
	return strconv.FormatFloat(float64(h.ValueAtQuantile(q))/1000, 'f', 2, 64)
}
