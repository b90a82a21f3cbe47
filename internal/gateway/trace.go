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
	// traceBacklog is how many lines may wait for the writer.
	traceBacklog = 512
	// plainLines and oddLines are how many lines a second requests get that met their goal at the first try, and all others.
	plainLines = 10
	oddLines   = 100
)

// line is what the log tells of one request.
type line struct {
	at                       time.Time
	id, rule, service, home  string
	outcome, reason, targets string
	status, note             int
	asks, hedges             int
	queued, sent, late       bool
	took, left               time.Duration
	// decided is what the home based its last decision on.
	decided placement.Verdict
}

// trace writes lines without ever holding up a request.
type trace struct {
	logger     zerolog.Logger
	lines      *ring.Queue[line]
	plain, odd *rate.Limiter
	unwritten  atomic.Int64
}

func newTrace(logger zerolog.Logger) (*trace, func()) {
	t := &trace{
		logger: logger, lines: ring.NewQueue[line](ring.Config{Capacity: traceBacklog}),
		plain: rate.NewLimiter(plainLines, plainLines), odd: rate.NewLimiter(oddLines, oddLines),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			l, ok := t.lines.Pop(ctx)
			if !ok {
				return
			}
			t.write(l)
		}
	}()
	return t, func() {
		cancel()
		<-done
	}
}

// add queues a line unless there were too many lately.
func (t *trace) add(l line) {
	limiter := t.odd
	if l.status < 300 && l.asks == 1 && l.hedges == 0 && l.sent && !l.late {
		limiter = t.plain
	}
	if !limiter.Allow() || !t.lines.Push(l) {
		t.unwritten.Add(1)
	}
}

func (t *trace) write(l line) {
	e := t.logger.Info()
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
		Dur("TookMilliseconds", l.took).Dur("LeftMilliseconds", l.left).Int64("Unwritten", t.unwritten.Load()).
		Msg("request ended")
}

// stats are the counters that the metrics address shows.
type stats struct {
	requests, attempts, probes, storeCalls, silentHomes, slowReaders, rejected atomic.Int64
	answered, refused, failed, notFound, cut                                   atomic.Int64
}

// finish counts and logs how a request ended.
func (g *Gateway) finish(x *exchange, a *answer, sent bool) {
	took := g.now() - x.request.arrived
	s := &g.stats
	switch {
	case !sent:
		s.cut.Add(1)
	case a.reason == "":
		s.answered.Add(1)
	case a.status == 503:
		s.refused.Add(1)
	case a.status == 404:
		s.notFound.Add(1)
	default:
		s.failed.Add(1)
	}
	l := line{
		at: time.Now().UTC(), id: x.request.id, rule: x.rule.Name, service: x.service, outcome: x.lastOutcome, reason: a.reason,
		status: a.status, note: x.number, asks: x.asks, hedges: x.hedges, queued: x.queued, sent: sent, took: took,
		left: x.deadline - g.now(), late: x.matched && g.now() > x.goal, decided: x.decided,
	}
	if x.decider != nil {
		l.home = x.decider.name()
	}
	for i, target := range x.tried {
		if i > 0 {
			l.targets += " "
		}
		l.targets += target
	}
	g.trace.add(l)
	if x.matched {
		g.histograms.Record(meter.Key{Service: x.service, Class: x.rule.Class}, took)
	}
}
