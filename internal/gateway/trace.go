package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"briarcroft/internal/meter"
	"briarcroft/internal/placement"
	"briarcroft/internal/ring"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// Limits of the request log.
const (
	// logQueueSize is the number of entries that may be queued for the writer.
	logQueueSize = 512
	// routineLinesPerSecond limits the entries for requests that succeeded within their latency goal at the first attempt.
	routineLinesPerSecond = 10
	// notableLinesPerSecond limits the entries for all other requests.
	notableLinesPerSecond = 100
)

// logEntry is the entry of one request in the request log.
type logEntry struct {
	at                       time.Time
	id, rule, service, home  string
	outcome, reason, targets string
	status, note             int
	homesAsked, hedges       int
	queued, sent, late       bool
	took, remaining          time.Duration
	// verdict is the last verdict about the request, with the estimates that it was based on.
	verdict placement.Verdict
}

// requestLog writes entries in the background. It drops and counts entries rather than delay a request.
type requestLog struct {
	logger           zerolog.Logger
	entries          *ring.Ring[logEntry]
	routine, notable *rate.Limiter
	unwritten        atomic.Int64
}

// newRequestLog returns a request log and the function that stops its writer.
func newRequestLog(logger zerolog.Logger) (*requestLog, func()) {
	r := &requestLog{
		logger: logger, entries: ring.New[logEntry](ring.Config{Capacity: logQueueSize}),
		routine: rate.NewLimiter(routineLinesPerSecond, routineLinesPerSecond), notable: rate.NewLimiter(notableLinesPerSecond, notableLinesPerSecond),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			e, ok := r.entries.Pop(ctx)
			if !ok {
				return
			}
			r.write(e)
		}
	}()
	return r, func() {
		cancel()
		<-done
	}
}

// add queues an entry unless the rate limit is reached or the queue is full.
func (r *requestLog) add(l logEntry) {
	limiter := r.notable
	if l.status < 300 && l.homesAsked == 1 && l.hedges == 0 && l.sent && !l.late {
		limiter = r.routine
	}
	if !limiter.Allow() || !r.entries.Push(l) {
		r.unwritten.Add(1)
	}
}

func (r *requestLog) write(l logEntry) {
	e := r.logger.Info()
	switch d := l.verdict.(type) {
	case placement.Placed:
		e.Dur("ExpectedMilliseconds", d.Expected).Dur("KnowledgeAgeMilliseconds", d.KnowledgeAge)
	case placement.Refused:
		e.Dur("ExpectedMilliseconds", d.Expected).Int("Waiting", d.Waiting).Int("Slots", d.Slots)
	}
	e.
		Time("At", l.at).Str("Request", l.id).Str("Rule", l.rule).Str("Service", l.service).Str("Home", l.home).
		Str("Targets", l.targets).Str("Outcome", l.outcome).Str("Reason", l.reason).Int("Status", l.status).Int("Note", l.note).
		Int("Asks", l.homesAsked).Int("Hedges", l.hedges).Bool("Queued", l.queued).Bool("Sent", l.sent).Bool("Late", l.late).
		Dur("TookMilliseconds", l.took).Dur("LeftMilliseconds", l.remaining).Int64("Unwritten", r.unwritten.Load()).
		Msg("request ended")
}

// stats holds the counters that the metrics page shows.
type stats struct {
	requests, attempts, probes, storeCalls, silentHomes, slowReaders, rejected atomic.Int64
	answered, refused, failed, notFound, truncated                             atomic.Int64
}

// finish counts and logs how a request ended; sent reports whether the whole response was written.
func (g *Gateway) finish(x *exchange, response *callerResponse, sent bool) {
	took := g.now() - x.request.arrived
	s := &g.stats
	switch {
	case !sent:
		s.truncated.Add(1)
	case response.reason == "":
		s.answered.Add(1)
	case response.status == 503:
		s.refused.Add(1)
	case response.status == 404:
		s.notFound.Add(1)
	default:
		s.failed.Add(1)
	}
	l := logEntry{
		at: time.Now().UTC(), id: x.request.attemptID, rule: x.rule.Name, service: x.service, outcome: x.lastOutcome, reason: response.reason,
		status: response.status, note: x.noteNumber, homesAsked: x.homesAsked, hedges: x.hedges, queued: x.queued, sent: sent, took: took,
		remaining: x.deadline - g.now(), late: x.ruleFound && g.now() > x.goal, verdict: x.verdict,
	}
	if x.placer != nil {
		l.home = x.placer.name()
	}
	for i, target := range x.tried {
		if i > 0 {
			l.targets += " "
		}
		l.targets += target
	}
	g.requestLog.add(l)
	if x.ruleFound {
		g.histograms.Record(meter.Key{Service: x.service, Class: x.rule.Class}, took)
	}
}
