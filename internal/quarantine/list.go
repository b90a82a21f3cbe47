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

// Request is a request, identified by its fingerprint, that is in quarantine.
type Request struct {
	// Fingerprint is a hash of the request, equal for every resend of it.
	Fingerprint uint64
	// Remaining is the time until the quarantine ends.
	Remaining time.Duration
	Reason    string
}

// suspect is a request that has broken the connection of at least one target, or that a peer has put in quarantine.
type suspect struct {
	// targets are those that broke their connection since the last response to the request.
	targets   []string
	lastBreak time.Duration
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
	return max(s.lastBreak+suspicionTime, s.until+s.duration())
}

// List holds the requests that a host has seen crash targets, and those that peers have put in quarantine. It is safe for
// concurrent use.
type List struct {
	config Config
	// size is the number of suspects. version changes whenever a request is put in quarantine.
	size    atomic.Int64
	version atomic.Uint64
	mu      sync.Mutex
	// suspects are keyed by the fingerprint of a request.
	suspects map[uint64]*suspect
}

// New returns an empty list.
func New(c Config) *List { return &List{config: c, suspects: map[uint64]*suspect{}} }

// RecordBreak records that a target broke its connection during an attempt that started at the given time, and reports
// whether this break is the one for which the request is put in quarantine. An attempt that started before the request's
// last recorded break does not count: targets that fail at the same time break the connections of many requests that are
// not at fault.
func (l *List) RecordBreak(now, started time.Duration, fingerprint uint64, target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	s := l.suspect(fingerprint)
	if started < s.lastBreak {
		return false
	}
	s.lastBreak = now
	if !slices.Contains(s.targets, target) {
		s.targets = append(s.targets, target)
	}
	if now < s.until || s.times == 0 && len(s.targets) < l.config.Targets {
		return false
	}
	s.times = min(s.times+1, len(durations))
	s.since, s.until = now, now+s.duration()
	l.version.Add(1)
	s.reason = "broke the connections of " + strings.Join(s.targets, " and ")
	s.targets = nil
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
	// A request without a recorded break has a last one before the start of the host.
	s := &suspect{lastBreak: -suspicionTime}
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

// RecordSuccess records that a target sent a response to a request, which is therefore no longer a suspect. A quarantine
// goes on until its end.
func (l *List) RecordSuccess(now time.Duration, fingerprint uint64) {
	if l.size.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.suspects[fingerprint]; s != nil && now >= s.until {
		l.remove(fingerprint)
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

// Lookup returns the quarantined request with the given fingerprint; found is false if there is none.
func (l *List) Lookup(now time.Duration, fingerprint uint64) (request Request, found bool) {
	if l.size.Load() == 0 {
		return Request{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[fingerprint]
	if s == nil || now >= s.until {
		return Request{}, false
	}
	return Request{fingerprint, s.until - now, s.reason}, true
}

// Suspected reports whether a request has broken the connection of a target, or was in quarantine, and was not answered
// since.
func (l *List) Suspected(now time.Duration, fingerprint uint64) bool {
	if l.size.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.suspects[fingerprint]
	return s != nil && now < s.expires()
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
