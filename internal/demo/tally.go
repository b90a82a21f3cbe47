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

// verdict is what became of one request.
type verdict int

const (
	answeredWhole verdict = iota
	refusedNotRun
	lost
	doubled
	cut
)

// verdict compares an answer with what the targets did.
func (f *fleet) verdict(load Workload, r caller.Request, a caller.Response, err error) verdict {
	runs := 0
	for _, key := range a.IdempotencyKeys {
		runs += f.ledger.Runs(key)
	}
	switch {
	case load.AtMostOnce && runs > 1:
		return doubled
	case err != nil:
		return lost
	case a.Status == http.StatusOK && !bytes.Equal(a.Body, ExpectedResponse(r.Path, r.Body, load.ResponseBytes)):
		return cut
	case a.Status == http.StatusOK && load.AtMostOnce && runs != 1:
		return lost
	case a.Status == http.StatusOK:
		return answeredWhole
	case a.Outcome == claim.NotRun && runs == 0:
		return refusedNotRun
	}
	return lost
}

// tally is what a run counted.
type tally struct {
	mu            sync.Mutex
	classes       map[string]*classTally
	inForce       time.Duration
	afterWithdraw int64
	stopTook      time.Duration
}

type classTally struct {
	count    [cut + 1]int64
	resends  int64
	latency  *hdrhistogram.Histogram
	addition *hdrhistogram.Histogram
}

func newTally() *tally { return &tally{classes: map[string]*classTally{}} }

func (t *tally) add(load Workload, a caller.Response, err error, took time.Duration, v verdict) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.classes[load.Class]
	if c == nil {
		c = &classTally{latency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3), addition: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
		t.classes[load.Class] = c
	}
	c.count[v]++
	c.resends += int64(max(0, a.Attempts-1))
	if err != nil {
		return
	}
	// Latencies above a minute end the run before they are recorded.
	_ = c.latency.RecordValue(took.Microseconds())
	if run, err := strconv.ParseInt(a.Header.Get(runHeader), 10, 64); err == nil {
		_ = c.addition.RecordValue(max(1, took.Microseconds()-run))
	}
}

func (t *tally) answered() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var sum int64
	for _, c := range t.classes {
		for _, n := range c.count {
			sum += n
		}
	}
	return sum
}

// judge prints the table and returns ErrBroken if a promise was broken.
func (f *fleet) judge(t *tally) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	var requests, bad int64
	table := tabwriter.NewWriter(f.config.Out, 2, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "Class\tCount\tAnswered\tNotRun\tLost\tDoubled\tCut\tResent\tP50 ms\tP99 ms\tP99.9 ms\tAdded P50 ms\tAdded P99 ms\t")
	for _, name := range sortedNames(t.classes) {
		c := t.classes[name]
		var sum int64
		for _, n := range c.count {
			sum += n
		}
		requests += sum
		bad += c.count[lost] + c.count[doubled] + c.count[cut]
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\t%s\t%s\t\n", name, sum, c.count[answeredWhole], c.count[refusedNotRun],
			c.count[lost], c.count[doubled], c.count[cut], c.resends, quantile(c.latency, 50), quantile(c.latency, 99), quantile(c.latency, 99.9),
			quantile(c.addition, 50), quantile(c.addition, 99))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	var probes int64
	for _, target := range f.targets {
		probes += target.Probes.Load()
	}
	fmt.Fprintf(f.config.Out, "probes per request %.4f; keys run twice %d; requests to the withdrawn target after note 2 was in force %d\n",
		float64(probes)/float64(max(1, requests)), f.ledger.DuplicateRuns(), t.afterWithdraw)
	for _, r := range f.hosts {
		fmt.Fprintf(f.config.Out, "%s: note %d in force\n", r.host.Name(), r.host.Number())
		if r.host.Number() != 2 {
			bad++
		}
	}
	if bad > 0 || f.ledger.DuplicateRuns() > 0 || t.afterWithdraw > 0 {
		return ErrCheckFailed.New("%d requests were lost, doubled or cut, or a host lags; see the table", bad)
	}
	fmt.Fprintln(f.config.Out, "0 lost, 0 doubled, 0 cut")
	return nil
}

func sortedNames(classes map[string]*classTally) []string {
	var names []string
	for name := range classes {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

func quantile(h *hdrhistogram.Histogram, q float64) string {
	return strconv.FormatFloat(float64(h.ValueAtQuantile(q))/1000, 'f', 2, 64)
}
