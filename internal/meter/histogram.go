// Package meter keeps latency histograms by service and request class, and the budget that limits what measurements
// such as health probes may cost.
package meter

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLatency is the highest latency that a histogram records. Higher ones are recorded as maxLatency.
const maxLatency = 10 * time.Minute

// Key identifies a histogram by service and request class.
type Key struct {
	Service string
	Class   string
}

// Summary holds the count, quantiles and maximum of a histogram. Times are in microseconds.
type Summary struct {
	Service string
	Class   string
	Count   int64
	P50     int64
	P99     int64
	P999    int64
	Max     int64
}

// Histograms holds a latency histogram per service and class. It is safe for concurrent use.
type Histograms struct {
	mu    sync.RWMutex
	byKey map[Key]*lockedHistogram
}

type lockedHistogram struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

// NewHistograms returns an empty set.
func NewHistograms() *Histograms { return &Histograms{byKey: map[Key]*lockedHistogram{}} }

// Record adds one latency.
func (h *Histograms) Record(k Key, latency time.Duration) {
	g := h.get(k)
	g.mu.Lock()
	defer g.mu.Unlock()
	// The value is clamped, so RecordValue cannot fail.
	_ = g.histogram.RecordValue(int64(min(max(latency, 0), maxLatency) / time.Microsecond))
}

func (h *Histograms) get(k Key) *lockedHistogram {
	h.mu.RLock()
	g := h.byKey[k]
	h.mu.RUnlock()
	if g != nil {
		return g
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if g = h.byKey[k]; g == nil {
		g = &lockedHistogram{histogram: hdrhistogram.New(1, int64(maxLatency/time.Microsecond), 2)}
		h.byKey[k] = g
	}
	return g
}

// Summaries returns a summary of each histogram, sorted by service and class.
func (h *Histograms) Summaries() []Summary {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var summaries []Summary
	for k, g := range h.byKey {
		g.mu.Lock()
		summaries = append(summaries, Summary{
			Service: k.Service, Class: k.Class, Count: g.histogram.TotalCount(),
			P50: g.histogram.ValueAtQuantile(50), P99: g.histogram.ValueAtQuantile(99),
			P999: g.histogram.ValueAtQuantile(99.9), Max: g.histogram.Max(),
		})
		g.mu.Unlock()
	}
	slices.SortFunc(summaries, func(a, b Summary) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class))
	})
	return summaries
}
