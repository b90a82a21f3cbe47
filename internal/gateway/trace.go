package gateway

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"briarcroft/internal/duty"
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
	// maxLoggedPath is the number of bytes of a path that an entry holds at most.
	maxLoggedPath = 120
)

// logEntry is the entry of one request in the request log.
type logEntry struct {
	at                       time.Time
	id, rule, service, home  string
	outcome, reason, targets string
	status, note             int
	homesTried, hedges       int
	queued, sent, late       bool
	duration, remaining      time.Duration
	// account is the name of the client account, and key the fingerprint of a key that was refused; they are empty if there is none.
	account, key string
	// byAge is set with Overload.AgeOrder, and age is how long before its arrival the caller first sent the request.
	byAge bool
	age   time.Duration
	// verdict is the last verdict about the request, with the estimates that it was based on.
	verdict placement.Verdict
	// relayedBy is the peer that relayed a run; it is empty if none did.
	relayedBy string
	// caller, path and fingerprint tell which requests repeat one another. They are set for requests that a target may have
	// run without a response, and for those that were refused because of that. Of a request that could not be read only caller is.
	caller, path string
	fingerprint  uint64
	// sharedFingerprints are those of request.sharedFingerprints.
	sharedFingerprints []uint64
}

// requestLog writes entries in the background. It drops and counts entries rather than delay a request.
type requestLog struct {
	logger           zerolog.Logger
	entries          *ring.Queue[logEntry]
	routine, notable *rate.Limiter
	unwritten        atomic.Int64
}

// newRequestLog returns a request log and the function that stops its writer.
func newRequestLog(logger zerolog.Logger) (*requestLog, func()) {
	r := &requestLog{
		logger: logger, entries: ring.NewQueue[logEntry](ring.Config{Capacity: logQueueSize}),
		routine: rate.NewLimiter(routineLinesPerSecond, routineLinesPerSecond), notable: rate.NewLimiter(notableLinesPerSecond, notableLinesPerSecond),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			entry, ok := r.entries.Pop(ctx)
			if !ok {
				return
			}
			r.write(entry)
		}
	}()
	return r, func() {
		cancel()
		<-done
	}
}

// add queues an entry unless the rate limit is reached or the queue is full.
func (r *requestLog) add(entry logEntry) {
	limiter := r.notable
	if entry.status < 300 && entry.homesTried == 1 && entry.hedges == 0 && entry.sent && !entry.late {
		limiter = r.routine
	}
	if !limiter.Allow() || !r.entries.Push(entry) {
		r.unwritten.Add(1)
	}
}

func (r *requestLog) write(entry logEntry) {
	e := r.logger.Info()
	switch v := entry.verdict.(type) {
	case placement.Placed:
		e.Dur("ExpectedMilliseconds", v.Expected).Dur("KnowledgeAgeMilliseconds", v.KnowledgeAge)
	case placement.Refused:
		e.Dur("ExpectedMilliseconds", v.Expected).Int("Waiting", v.Waiting).Int("Slots", v.Slots)
		if entry.byAge {
			e.Dur("TurnMilliseconds", v.Turn).Int("Free", v.Free)
		}
	}
	if entry.caller != "" {
		e.Str("Caller", entry.caller)
	}
	if entry.fingerprint != 0 {
		e.Str("Path", entry.path).Str("Fingerprint", strconv.FormatUint(entry.fingerprint, 16))
		shared := make([]string, 0, len(entry.sharedFingerprints))
		for _, f := range entry.sharedFingerprints {
			shared = append(shared, strconv.FormatUint(f, 16))
		}
		e.Strs("SharedFingerprints", shared)
	}
	if entry.byAge {
		e.Dur("AgeMilliseconds", entry.age)
	}
	if entry.relayedBy != "" {
		e.Str("RelayedBy", entry.relayedBy)
	}
	if entry.account != "" {
		e.Str("Account", entry.account)
	}
	if entry.key != "" {
		e.Str("KeyFingerprint", entry.key)
	}
	e.
		Time("At", entry.at).Str("Request", entry.id).Str("Rule", entry.rule).Str("Service", entry.service).Str("Home", entry.home).
		Str("Targets", entry.targets).Str("Outcome", entry.outcome).Str("Reason", entry.reason).Int("Status", entry.status).Int("Note", entry.note).
		Int("Asks", entry.homesTried).Int("Hedges", entry.hedges).Bool("Queued", entry.queued).Bool("Sent", entry.sent).Bool("Late", entry.late).
		Dur("TookMilliseconds", entry.duration).Dur("LeftMilliseconds", entry.remaining).Int64("Unwritten", r.unwritten.Load()).
		Msg("request ended")
}

// unwrittenLines returns the number of lines that the log lacks.
func (g *Gateway) unwrittenLines() int64 {
	return g.requestLog.unwritten.Load() + g.records.Unwritten() + g.config.LostLogLines()
}

// stats holds the counters that the metrics page shows.
type stats struct {
	requests, attempts, storeCalls atomic.Int64
	// storeChecks counts the calls to the store that were made because this host's knowledge of it was old.
	storeChecks                                    atomic.Int64
	answered, refused, failed, notFound, truncated atomic.Int64
	// unresponsiveHomes counts homes that gave no verdict within firstVerdictTimeout; slowReaders, hosts that were cut off
	// because they did not read their verdicts; rejected, requests that could not be read.
	unresponsiveHomes, slowReaders, rejected atomic.Int64
	// panics counts the panics that did not end the process.
	panics atomic.Int64
	// bodiesRejected counts the requests for whose bodies there was no memory.
	bodiesRejected atomic.Int64
	// responsesUnbuffered counts the responses that were passed on while they were read because no memory was left for them.
	responsesUnbuffered atomic.Int64
	// tooLarge counts connections that were closed because a target sent more than a response may have.
	tooLarge atomic.Int64
	// invalidResponses counts connections that were closed because the head of a target's response was none.
	invalidResponses atomic.Int64
	// unidentified counts runs that ended with a response that did not have the attempt ID of the request.
	unidentified atomic.Int64
	// relayed counts the runs that peers relayed for this host, and relayedForPeers those that it relayed for peers.
	relayed, relayedForPeers atomic.Int64
	// reachChecks counts the checks whether this host reaches a target.
	reachChecks atomic.Int64
	// restores counts the times that the store came back from an older copy.
	restores atomic.Int64
	// notices counts the news about targets that leave or want no requests for a time.
	notices atomic.Int64
	// quarantined counts the requests that this host, as a home, has put in quarantine.
	quarantined atomic.Int64
	// unknownKeys counts requests without a valid key, and tooOld those that were refused because a key may have been added or
	// withdrawn without this host knowing.
	unknownKeys, tooOld atomic.Int64
	// primaryProbes and fallbackProbes count health probes by the role in which they were sent.
	primaryProbes, fallbackProbes atomic.Int64
	// primaryLimitedRuns and fallbackLimitedRuns count runs placed on targets that name a rate limit, by the home's role.
	primaryLimitedRuns, fallbackLimitedRuns atomic.Int64
	// storeBytesSent and storeBytesReceived count the bytes of the streams on which hosts pass on changes of the store, and
	// followsStarted this host's attempts to open one.
	storeBytesSent, storeBytesReceived, followsStarted atomic.Int64
	// ownDomainBytes counts the bytes of responses of targets in this host's failure domain, and otherDomainBytes those of others.
	ownDomainBytes, otherDomainBytes atomic.Int64
	// reclaimed counts the callers' connections without a request that were closed to make room, and refusedConns those that were
	// refused because there was none.
	reclaimed, refusedConns atomic.Int64
	// acceptFailures counts the errors of Accept on all listeners.
	acceptFailures atomic.Int64
	// secondRuns counts second runs under a limit of the operators, by this host as a home.
	secondRuns secondRunStats
	// waiting and running are the numbers of requests that wait for a target and of runs on targets at present.
	waiting, running atomic.Int64
}

// countersInterval is the time between two lines with the counters in the log.
const countersInterval = 5 * time.Second

// runCounterLog is the background task that writes the counters to the log, for times at which nobody read the metrics
// page.
func (g *Gateway) runCounterLog(ctx context.Context) {
	s := &g.stats
	for duty.Sleep(ctx, countersInterval) {
		line := g.logger.Info()
		if second := s.secondRuns.status(); second != nil {
			line.Interface("SecondRuns", second)
		}
		line.
			Int64("Requests", s.requests.Load()).Int64("Quarantined", s.quarantined.Load()).
			Bool("TargetsLost", g.reach.Lost()).Int64("RelayedRequests", s.relayed.Load()).Int64("RequestsForPeers", s.relayedForPeers.Load()).
			Int64("PrimaryProbes", s.primaryProbes.Load()).Int64("FallbackProbes", s.fallbackProbes.Load()).
			Int64("PrimaryLimitedRuns", s.primaryLimitedRuns.Load()).Int64("FallbackLimitedRuns", s.fallbackLimitedRuns.Load()).
			Int64("StoreCalls", s.storeCalls.Load()).Int64("StoreChecks", s.storeChecks.Load()).Dur("StoreAgeMilliseconds", g.knowledgeAge()).Int64("StoreBytesSent", s.storeBytesSent.Load()).
			Int64("StoreBytesReceived", s.storeBytesReceived.Load()).Int64("FollowsStarted", s.followsStarted.Load()).
			Int64("OwnDomainBytes", s.ownDomainBytes.Load()).Int64("OtherDomainBytes", s.otherDomainBytes.Load()).
			Int64("Panics", s.panics.Load()).Int64("LostLogLines", g.config.LostLogLines()).
			Interface("Connections", g.connectionCounts()).Interface("Descriptors", g.descriptorCounts()).Int64("AcceptFailures", s.acceptFailures.Load()).
			Int64("ConnectionsReclaimed", s.reclaimed.Load()).Int64("ConnectionsRefused", s.refusedConns.Load()).
			Int("Followers", g.followers.count()).Int("LiveHosts", len(g.members.Live(g.now()))).
			Msg("counters")
	}
}

// finish counts and logs how a request ended; sent reports whether the whole response was written.
func (g *Gateway) finish(x *exchange, response *callerResponse, sent bool) {
	duration := g.now() - x.request.arrived
	s := &g.stats
	switch {
	case !sent:
		s.truncated.Add(1)
	case response.reason == "":
		s.answered.Add(1)
	case response.reason == string(placement.ReasonAllowanceSpent):
		s.refused.Add(1)
		g.allowances.refused.Add(1)
	case response.status == 503:
		s.refused.Add(1)
	case response.status == 404:
		s.notFound.Add(1)
	default:
		s.failed.Add(1)
	}
	entry := logEntry{
		at: time.Now().UTC(), id: x.request.attemptID, rule: x.rule.Name, service: x.service, outcome: x.lastOutcome, reason: response.reason,
		status: response.status, note: x.noteNumber, homesTried: x.homesTried, hedges: x.hedges, queued: x.queued, sent: sent, duration: duration,
		remaining: x.deadline - g.now(), late: x.ruleFound && g.now() > x.goal, verdict: x.verdict,
	}
	entry.byAge, entry.age = g.settings.Overload.AgeOrder, x.age
	if x.placer != nil {
		entry.home = x.placer.name()
	}
	if x.mayHaveRun || x.lastOutcome == string(placement.ReasonQuarantined) {
		entry.caller, entry.path, entry.fingerprint = x.request.callerAddress, x.request.path[:min(len(x.request.path), maxLoggedPath)], x.fingerprint
		entry.sharedFingerprints = x.sharedFingerprints
	}
	entry.account, entry.key = x.accountName(), x.refusedKey()
	if peer := x.relayedBy.Load(); peer != nil {
		entry.relayedBy = *peer
	}
	for i, target := range x.tried {
		if i > 0 {
			entry.targets += " "
		}
		entry.targets += target
	}
	g.requestLog.add(entry)
	if x.ruleFound {
		g.histograms.Record(meter.Key{Service: x.service, Class: x.rule.Class}, duration)
	}
}
