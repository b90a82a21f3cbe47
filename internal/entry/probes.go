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
	probeEvery   = 200 * time.Millisecond
	probeTimeout = 500 * time.Millisecond
	probeBytes   = 512
)

// probeDuty asks idle, ejected and draining targets for their report, as far as the budget allows.
func (h *Host) probeDuty(ctx context.Context) {
	transport := &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, ResponseHeaderTimeout: probeTimeout, DialContext: h.config.Dial}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: probeTimeout}
	for duty.Sleep(ctx, probeEvery) {
		for _, p := range h.steering.Probes() {
			if !h.budget.Allow(h.now(), meter.ActivityProbe, p.Domain, probeBytes) {
				h.explainBudget(p.Domain)
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
	h.budget.Charge(h.now(), min(time.Since(started), probeCore))
}

// probeCore bounds the processor time that is charged for one probe; most of a probe is waiting.
const probeCore = 200 * time.Microsecond

// explainBudget writes a record when the budget refuses, once in a while.
func (h *Host) explainBudget(domain string) {
	now := h.now()
	last := time.Duration(h.stats.budgetExplained.Load())
	if last != 0 && now-last < budgetExplainEvery {
		return
	}
	h.stats.budgetExplained.Store(int64(now))
	h.book.Add(record.Record{Kind: record.BudgetExhausted, Cause: "MeasuringBudget", Note: h.chain.Number(), Evidence: record.Evidence{Detail: domain}})
}

const budgetExplainEvery = 10 * time.Second
