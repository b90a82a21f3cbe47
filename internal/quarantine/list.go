// Package quarantine lists requests that crash backend servers, which are refused so that retries and resends do not crash
// more of them. It opens no connections and reads no clock: callers pass in the time since the start of their host.
package quarantine

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the list.
const (
	// suspicionTime is how long after its last recorded connection break a request is remembered.
	suspicionTime = 2 * time.Minute
	// maxSuspects is the maximum number of requests in a list, and maxShared of those that All returns.
	maxSuspects = 4096
	maxShared   = 64
	// minVariants is the number of different requests that must have crashed targets before what they share is put in
	// quarantine.
	minVariants = 2
	// minEndResponses and minBreakResponses are the numbers of responses to others that show that targets serve them
	// meanwhile: if targets have ended, and if they have only broken connections. In the latter case at most maxOtherBreaks
	// connections may have broken for each response to others.
	minEndResponses   = 3
	minBreakResponses = 20
	maxOtherBreaks    = 0.1
	// expectedBreakShare is the highest share of runs that are assumed to break their connections while no connection of another
	// request has broken.
	expectedBreakShare = 0.2
	// seriesGap is the time without a broken connection after which the next one begins a new series.
	seriesGap = 10 * time.Second
	// targetsToRunAlone is the number of targets that requests with something in common must crash before only one of them
	// runs at a time.
	targetsToRunAlone = 2
)

// durations lists how long a request stays in quarantine for the first time, the second time and so on; the last one
// applies to all further times. When a quarantine has ended, one more broken connection puts the request back. The first one
// is short, because it may hit a request that is not at fault while many targets fail.
var durations = []time.Duration{10 * time.Second, 2 * time.Minute, time.Hour}

// maxDuration is the longest duration of a quarantine.
var maxDuration = durations[len(durations)-1]

// Config configures a List.
type Config struct {
	// Targets is the number of targets (backend servers) that must break their connection during an attempt of the same
	// request before the request is put in quarantine.
	Targets int
}

// Request is a request, or all requests with something in common, that is in quarantine.
type Request struct {
	// Fingerprint is a hash of the request, equal for every resend of it, or of what several requests share.
	Fingerprint uint64
	// Remaining is the time until the quarantine ends.
	Remaining time.Duration
	Reason    string
}

// suspect is a request, or all requests with something in common, that has broken the connection of at least one target, or
// that a peer has put in quarantine.
type suspect struct {
	// targets are those that broke their connection since the last response to the request.
	targets   []string
	lastBreak time.Duration
	// recordedAt is when a break was recorded last, whether it counts or not.
	recordedAt time.Duration
	// ended are those of the targets that have ended then, and lastEnd is when the last of their connections broke.
	ended   []string
	lastEnd time.Duration
	// variants are fingerprints of the different requests that broke the connections, up to minVariants. They are the next
	// narrower ones, so a request's own fingerprint has none.
	variants []uint64
	// breaks is the number of connections that broke since the last response or quarantine. listBreaks and listResponses are
	// those of the list before.
	breaks, listBreaks, listResponses int64
	// until is when the last quarantine of the request ends, and times how often it was put in quarantine, up to the number
	// of durations; both are zero if it never was.
	until time.Duration
	times int
	// since is when this host put the request in quarantine last, or learned that another one has.
	since  time.Duration
	reason string
}

// duration returns how long the last quarantine of the request takes.
func (s *suspect) duration() time.Duration {
	if s.times == 0 {
		return 0
	}
	return durations[s.times-1]
}

// expires returns when the request is forgotten.
func (s *suspect) expires() time.Duration {
	return max(s.recordedAt+suspicionTime, s.until+s.duration())
}

// List holds the requests that a host has seen crash targets, and those that peers have put in quarantine. It is safe for
// concurrent use.
type List struct {
	config Config
	// size is the number of suspects. version changes whenever a request is put in quarantine.
	size    atomic.Int64
	version atomic.Uint64
	// responses is the number of responses to all requests, and breaks that of broken connections.
	responses atomic.Int64
	mu        sync.Mutex
	breaks    int64
	// lastBreak is when a connection broke last. seriesBreaks and seriesResponses are the numbers of breaks and responses before
	// the present series of breaks.
	lastBreak                     time.Duration
	seriesBreaks, seriesResponses int64
	// suspects are keyed by the fingerprint of a request.
	suspects map[uint64]*suspect
}

// New returns an empty list.
func New(c Config) *List {
	return &List{config: c, suspects: map[uint64]*suspect{}}
}

// Break is the end of a run during which a target broke its connection.
type Break struct {
	Target string
	// Started and Ended are when the run began and when its connection broke.
	Started, Ended time.Duration
	// TargetFails is set if the target broke the connection of another request before the run and has answered none since. The
	// break is then no evidence against the request itself.
	TargetFails bool
	// Fingerprints are the request's own fingerprint and those of what it shares with others, from few others to many.
	Fingerprints []uint64
}

// RecordBreak records a broken connection and returns the fingerprint by which the request is put in quarantine because of it.
// A request is put in quarantine because of broken connections only if targets break those of others far less often, and
// requests that share something only if several of them have broken connections and targets answer others meanwhile.
//
// A run that started before the last recorded break does not count: targets that fail at the same time break the connections
// of many requests that are not at fault.
func (l *List) RecordBreak(now time.Duration, b Break) (fingerprint uint64, quarantined bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	if now-l.lastBreak >= seriesGap {
		l.seriesBreaks, l.seriesResponses = l.breaks, l.responses.Load()
	}
	l.lastBreak = now
	l.breaks++
	var variant uint64
	for i, f := range b.Fingerprints {
		s := l.suspect(f)
		counts := l.addBreak(s, b, variant)
		variant = f
		if !counts || quarantined || len(s.targets) < s.needed(l.config.Targets) {
			continue
		}
		apart := i == 0 && l.breaksApart(s) || i > 0 && l.othersServed(s)
		if apart && l.convict(now, s) {
			fingerprint, quarantined = f, true
		}
	}
	return fingerprint, quarantined
}

// RecordEnd records that a target has ended during a run that RecordBreak was told of, which is stronger evidence than a broken
// connection. It returns the fingerprint by which the request, or what it shares with others, is put in quarantine.
func (l *List) RecordEnd(now time.Duration, b Break) (fingerprint uint64, quarantined bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, f := range b.Fingerprints {
		s := l.suspects[f]
		if s == nil || b.Started < s.lastEnd {
			continue
		}
		s.lastEnd = b.Ended
		if !slices.Contains(s.ended, b.Target) {
			s.ended = append(s.ended, b.Target)
		}
		if !quarantined && len(s.ended) >= s.needed(l.config.Targets) && (i == 0 || l.responsesSince(s) >= minEndResponses) && l.convict(now, s) {
			fingerprint, quarantined = f, true
		}
	}
	return fingerprint, quarantined
}

// addBreak adds a broken connection to the evidence against a suspect and reports whether it counts. The variant is the next
// narrower fingerprint of the request; 0 means none.
func (l *List) addBreak(s *suspect, b Break, variant uint64) bool {
	if len(s.targets) == 0 && s.times == 0 {
		s.breaks, s.listBreaks, s.listResponses = 0, l.breaks-1, l.responses.Load()
	}
	s.breaks++
	s.recordedAt = b.Ended
	if b.Started < s.lastBreak || b.TargetFails && variant == 0 {
		return false
	}
	s.lastBreak = b.Ended
	if !slices.Contains(s.targets, b.Target) {
		s.targets = append(s.targets, b.Target)
	}
	if variant != 0 && len(s.variants) < minVariants && !slices.Contains(s.variants, variant) {
		s.variants = append(s.variants, variant)
	}
	return true
}

// needed returns how many targets a suspect must crash before it is put in quarantine: one after its first quarantine, before
// that the given number.
func (s *suspect) needed(atFirst int) int {
	if s.times > 0 {
		return 1
	}
	return atFirst
}

// responsesSince returns the number of responses since the first break of a suspect, or since its last quarantine began. None
// of them was to the suspect.
func (l *List) responsesSince(s *suspect) int64 { return l.responses.Load() - s.listResponses }

// breaksApart reports whether a suspect breaks connections so much more often than others that this is no more likely to be
// chance than if the needed number of targets, and one more if connections of others break too, had broken its connections at
// the expected share. The others are considered in the time of responsesSince and in the whole series of breaks.
func (l *List) breaksApart(s *suspect) bool {
	needed, recent, series := s.needed(l.config.Targets), l.otherBreaks(s), max(0, l.breaks-l.seriesBreaks-s.breaks)
	if recent > 0 || series > 0 {
		needed++
	}
	share := max(breakShare(recent, l.responsesSince(s)), breakShare(series, l.responses.Load()-l.seriesResponses))
	return math.Pow(share, float64(len(s.targets))) <= math.Pow(expectedBreakShare, float64(needed))
}

// breakShare returns an upper estimate, by a standard deviation, of the share of runs that break their connections from the
// numbers of breaks and responses.
func breakShare(breaks, responses int64) float64 {
	expected := float64(breaks + 1)
	share := min(1, (expected+math.Sqrt(expected))/float64(breaks+responses+2))
	if breaks == 0 {
		return min(share, expectedBreakShare)
	}
	return share
}

// otherBreaks returns the number of connections that runs of others than the suspect broke in the time of responsesSince.
func (l *List) otherBreaks(s *suspect) int64 { return l.breaks - s.listBreaks - s.breaks }

// othersServed reports whether targets have answered others, and have hardly broken their connections, in the time of
// responsesSince.
func (l *List) othersServed(s *suspect) bool {
	responses := l.responsesSince(s)
	return responses >= minBreakResponses && float64(l.otherBreaks(s)) <= maxOtherBreaks*float64(responses)
}

// convict puts a suspect in quarantine and reports whether it was not there. A suspect that stands for what requests share
// must have several variants.
func (l *List) convict(now time.Duration, s *suspect) bool {
	if now < s.until || len(s.variants) == 1 && s.times == 0 {
		return false
	}
	s.times = min(s.times+1, len(durations))
	s.since, s.until = now, now+s.duration()
	l.version.Add(1)
	s.reason = "broke the connections of " + strings.Join(s.targets, " and ")
	s.targets, s.ended, s.variants = nil, nil, nil
	s.breaks, s.listBreaks, s.listResponses = 0, l.breaks, l.responses.Load()
	return true
}

// suspect returns the entry of a request, which it adds if there is none. The one that would be forgotten first gives way
// in a full list.
func (l *List) suspect(fingerprint uint64) *suspect {
	if s := l.suspects[fingerprint]; s != nil {
		return s
	}
	if len(l.suspects) >= maxSuspects {
		l.removeFirstToExpire()
	}
	// A request without a recorded break is forgotten at once.
	s := &suspect{recordedAt: -suspicionTime}
	l.suspects[fingerprint] = s
	l.size.Store(int64(len(l.suspects)))
	return s
}

func (l *List) removeFirstToExpire() {
	var first uint64
	var expires time.Duration = math.MaxInt64
	for fingerprint, s := range l.suspects {
		if s.expires() < expires {
			first, expires = fingerprint, s.expires()
		}
	}
	l.remove(first)
}

func (l *List) remove(fingerprint uint64) {
	delete(l.suspects, fingerprint)
	l.size.Store(int64(len(l.suspects)))
}

// RecordSuccess records that a target sent a response to a request, which is therefore no longer a suspect, and nor is what
// it shares with others. A quarantine goes on until its end.
func (l *List) RecordSuccess(now time.Duration, fingerprints ...uint64) {
	l.responses.Add(1)
	if l.size.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range fingerprints {
		if s := l.suspects[f]; s != nil && now >= s.until {
			l.remove(f)
		}
	}
}

// Merge adds requests that a peer has put in quarantine. It ignores those whose remaining time is not between 0 and the
// longest that a quarantine takes.
func (l *List) Merge(now time.Duration, requests []Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range requests {
		if r.Remaining <= 0 || r.Remaining > maxDuration {
			continue
		}
		s := l.suspect(r.Fingerprint)
		for s.duration() < r.Remaining {
			s.times++
		}
		if now >= s.until {
			s.since = now
			l.version.Add(1)
		}
		if until := now + r.Remaining; until > s.until {
			s.until, s.reason = until, r.Reason
		}
	}
}

// Version returns a number that changes whenever a request is put in quarantine.
func (l *List) Version() uint64 { return l.version.Load() }

// Lookup returns which of a request's fingerprints is in quarantine for the longest time; found is false if none is.
func (l *List) Lookup(now time.Duration, fingerprints ...uint64) (request Request, found bool) {
	if l.size.Load() == 0 {
		return Request{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, f := range fingerprints {
		if s := l.suspects[f]; s != nil && s.until-now > request.Remaining {
			request, found = Request{f, s.until - now, s.reason}, true
		}
	}
	return request, found
}

// Suspects returns those of a request's fingerprints by which it must not run beside others: each has broken the connection
// of a target, or was in quarantine, and was not answered since. What several requests share must have crashed
// targetsToRunAlone targets, which have ended or serve others.
func (l *List) Suspects(now time.Duration, fingerprints ...uint64) []uint64 {
	if l.size.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var suspects []uint64
	for i, f := range fingerprints {
		s := l.suspects[f]
		if s == nil || now >= s.expires() {
			continue
		}
		if i == 0 && len(s.targets)+len(s.ended) > 0 || s.times > 0 || len(s.ended) >= targetsToRunAlone || len(s.targets) >= targetsToRunAlone && l.othersServed(s) {
			suspects = append(suspects, f)
		}
	}
	return suspects
}

// Suspected reports whether a request must not run beside others; see Suspects.
func (l *List) Suspected(now time.Duration, fingerprints ...uint64) bool {
	return len(l.Suspects(now, fingerprints...)) > 0
}

// All returns the requests in quarantine, with the time that remains for each. Of more than maxShared it returns those that
// crashed a target last, or were learned of last.
func (l *List) All(now time.Duration) []Request {
	if l.size.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var fingerprints []uint64
	for fingerprint, s := range l.suspects {
		if now < s.until {
			fingerprints = append(fingerprints, fingerprint)
		}
	}
	slices.SortFunc(fingerprints, func(a, b uint64) int {
		return cmp.Or(cmp.Compare(l.suspects[b].since, l.suspects[a].since), cmp.Compare(a, b))
	})
	var requests []Request
	for _, fingerprint := range fingerprints[:min(len(fingerprints), maxShared)] {
		s := l.suspects[fingerprint]
		requests = append(requests, Request{fingerprint, s.until - now, s.reason})
	}
	return requests
}

// sweep removes the requests that are to be forgotten.
func (l *List) sweep(now time.Duration) {
	for fingerprint, s := range l.suspects {
		if now >= s.expires() {
			l.remove(fingerprint)
		}
	}
}
