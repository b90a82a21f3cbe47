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

// Bounds of the log of requests.
const (
	// logQueueSize is how many lines may wait for the writer.
	logQueueSize = 512
	// routineLinesPerSecond and oddLines are how many lines a second requests get that met their goal at the first try, and all others.
	routineLinesPerSecond = 10
	notableLinesPerSecond = 100
)

// logEntry is what the log tells of one request.
type logEntry struct {
	at                       time.Time
	id, rule, service, home  string
	outcome, reason, targets string
	status, note             int
	asks, hedges             int
	queued, sent, late       bool
	took, remaining          time.Duration
	// decided is what the home based its last decision on.
	decided placement.Verdict
}

// requestLog writes lines without ever holding up a request.
type requestLog struct {
	logger           zerolog.Logger
	entries          *ring.Ring[logEntry]
	routine, notable *rate.Limiter
	unwritten        atomic.Int64
}

func newTrace(logger zerolog.Logger) (*requestLog, func()) {
	r := &requestLog{
		logger: logger, entries: ring.New[logEntry](ring.Config{Capacity: logQueueSize}),
		routine: rate.NewLimiter(routineLinesPerSecond, routineLinesPerSecond), notable: rate.NewLimiter(notableLinesPerSecond, notableLinesPerSecond),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			l, ok := r.entries.Pop(ctx)
			if !ok {
				return
			}
			r.write(l)
		}
	}()
	return r, func() {
		cancel()
		<-done
	}
}

// add queues a line unless there were too many lately.
func (r *requestLog) add(l logEntry) {
	limiter := r.notable
	if l.status < 300 && l.asks == 1 && l.hedges == 0 && l.sent && !l.late {
		limiter = r.routine
	}
	if !limiter.Allow() || !r.entries.Push(l) {
		r.unwritten.Add(1)
	}
}

func (r *requestLog) write(l logEntry) {
	e := r.logger.Info()
	switch d := l.decided.(type) {
	case placement.Placed:
		e.Dur("ExpectedMilliseconds", d.Expected).Dur("KnowledgeAgeMilliseconds", d.KnowledgeAge)
	case placement.Refused:
		e.Dur("ExpectedMilliseconds", d.Expected).Int("Waiting", d.Waiting).Int("Slots", d.Slots)
	}
	e.
		Time("At", l.at).Str("Request", l.id).Str("Rule", l.rule).Str("Service", l.service).Str("Home", l.home).
		Str("Targets", l.targets).Str("Outcome", l.outcome).Str("Reason", l.reason).Int("Status", l.status).Int("Note", l.note).
		Int("Asks", l.asks).Int("Hedges", l.hedges).Bool("Queued", l.queued).Bool("Sent", l.sent).Bool("Late", l.late).
		Dur("TookMilliseconds", l.took).Dur("LeftMilliseconds", l.remaining).Int64("Unwritten", r.unwritten.Load()).
		Msg("request ended")
}

// stats are the counters that the metrics address shows.
type stats struct {
	requests, attempts, probes, storeCalls, silentHomes, slowReaders, rejected atomic.Int64
	answered, refused, failed, notFound, truncated                             atomic.Int64
}

// finish counts and logs how a request ended.
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
		status: response.status, note: x.noteNumber, asks: x.homesAsked, hedges: x.hedges, queued: x.queued, sent: sent, took: took,
		remaining: x.deadline - g.now(), late: x.ruleFound && g.now() > x.goal, decided: x.verdict,
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
