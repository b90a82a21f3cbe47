package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/meter"
	"briarcroft/internal/record"
	"briarcroft/internal/route"
	"briarcroft/internal/steering"
)

// Times and sizes of probes.
const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	probeBytes    = 512
)

// probeLoop asks idle, ejected and draining targets for their report, as far as the budget allows.
func (h *Host) probeLoop(ctx context.Context) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, ResponseHeaderTimeout: probeTimeout, DialContext: h.config.Dial}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: probeTimeout}
	for duty.Sleep(ctx, probeInterval) {
		for _, p := range h.dispatcher.Probes() {
			if !h.budget.Allow(h.now(), meter.ActivityProbe, p.Domain, probeBytes) {
				h.recordBudgetExhausted(p.Domain)
				break
			}
			h.probe(ctx, client, p)
		}
	}
}

func (h *Host) probe(ctx context.Context, client *http.Client, p steering.Probe) {
	started := time.Now()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+p.Path, nil)
	if err != nil {
		return
	}
	response, err := client.Do(request)
	if err != nil {
		return
	}
	// Only the header fields count; the rest is read so that the connection can be used again.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, probeBytes))
	_ = response.Body.Close()
	inFlight, err := strconv.Atoi(response.Header.Get(steering.HeaderLoad))
	if err != nil {
		inFlight = 0
	}
	p.Take(route.Report{InFlight: inFlight, Draining: response.Header.Get(steering.HeaderDraining) == "true", Age: time.Since(started)}, response.StatusCode)
	h.budget.Charge(h.now(), min(time.Since(started), maxProbeCPUTime))
}

// maxProbeCPUTime bounds the processor time that is charged for one probe; most of a probe is waiting.
const maxProbeCPUTime = 200 * time.Microsecond

// recordBudgetExhausted writes a record when the budget refuses, once in a while.
func (h *Host) recordBudgetExhausted(domain string) {
	now := h.now()
	lastRecorded := time.Duration(h.stats.budgetRecordedAt.Load())
	if lastRecorded != 0 && now-lastRecorded < budgetRecordInterval {
		return
	}
	h.stats.budgetRecordedAt.Store(int64(now))
	h.records.Add(record.Record{Kind: record.BudgetExhausted, Cause: "MeasuringBudget", Note: h.chain.Number(), Evidence: record.Evidence{Detail: domain}})
}

const budgetRecordInterval = 10 * time.Second
