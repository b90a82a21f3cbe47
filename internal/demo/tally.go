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

// outcome is what became of one request.
type outcome int

const (
	completed outcome = iota
	notRun
	lost
	duplicated
	truncated
)

// classify compares an answer with what the targets did.
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

// results is what a run counted.
type results struct {
	mu                      sync.Mutex
	classes                 map[string]*classResults
	noteDelay               time.Duration
	requestsAfterWithdrawal int64
	stopDuration            time.Duration
}

type classResults struct {
	counts       [truncated + 1]int64
	retries      int64
	latency      *hdrhistogram.Histogram
	addedLatency *hdrhistogram.Histogram
}

func newResults() *results { return &results{classes: map[string]*classResults{}} }

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
	// Latencies above a minute end the run before they are recorded.
	_ = c.latency.RecordValue(latency.Microseconds())
	if runTime, err := strconv.ParseInt(response.Header.Get(runHeader), 10, 64); err == nil {
		_ = c.addedLatency.RecordValue(max(1, latency.Microseconds()-runTime))
	}
}

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

// printResults prints the table and returns ErrBroken if a promise was broken.
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
		float64(probes)/float64(max(1, requests)), f.runCounter.DuplicateRuns(), res.requestsAfterWithdrawal)
	for _, r := range f.hosts {
		fmt.Fprintf(f.config.Out, "%s: note %d in force\n", r.host.Name(), r.host.Number())
		if r.host.Number() != 2 {
			failures++
		}
	}
	if failures > 0 || f.runCounter.DuplicateRuns() > 0 || res.requestsAfterWithdrawal > 0 {
		return ErrCheckFailed.New("%d requests were lost, doubled or cut, or a host lags; see the table", failures)
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

func formatQuantile(h *hdrhistogram.Histogram, q float64) string {
	return strconv.FormatFloat(float64(h.ValueAtQuantile(q))/1000, 'f', 2, 64)
}
