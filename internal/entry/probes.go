package entry

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/message"
	"briarcroft/internal/meter"
	"briarcroft/internal/record"
	"briarcroft/internal/route"
	"briarcroft/internal/steering"
)

// Times and sizes of probes.
const (
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 500 * time.Millisecond
	// probeBytes is the traffic charged to the measuring budget for a probe, and the most that is read of a response body.
	probeBytes = 512
)

// probeLoop requests the load report of targets that have not responded recently, because they are idle, ejected or
// draining. The measuring budget limits what probes and pushes of in-flight counts may cost this host; the first probe that
// it refuses ends the round.
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
	if !message.ValidStatus(response.StatusCode) {
		_ = response.Body.Close()
		return
	}
	// The report is in the header fields; the body is read so that the connection can be reused.
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, probeBytes))
	_ = response.Body.Close()
	inFlight, err := strconv.Atoi(response.Header.Get(steering.HeaderLoad))
	if err != nil {
		inFlight = 0
	}
	p.Apply(route.LoadReport{InFlight: inFlight, Draining: response.Header.Get(steering.HeaderDraining) == "true", Age: time.Since(started)}, response.StatusCode)
	h.budget.Charge(h.now(), min(time.Since(started), maxProbeCPUTime))
}

// maxProbeCPUTime bounds the processor time that is charged for one probe, since most of its duration is waiting.
const maxProbeCPUTime = 200 * time.Microsecond

// recordBudgetExhausted adds a record that the measuring budget has refused a probe, at most once per budgetRecordInterval.
func (h *Host) recordBudgetExhausted(domain string) {
	now := h.now()
	lastRecorded := time.Duration(h.stats.budgetRecordedAt.Load())
	if lastRecorded != 0 && now-lastRecorded < budgetRecordInterval {
		return
	}
	h.stats.budgetRecordedAt.Store(int64(now))
	h.records.Add(record.Record{Kind: record.BudgetExhausted, Cause: "MeasuringBudget", Note: h.chain.Number(), Evidence: record.Evidence{Detail: domain}})
}

// budgetRecordInterval is the shortest time between two records of an exhausted budget.
const budgetRecordInterval = 10 * time.Second
