// Package quarantine lists requests that crash backend servers, which are refused so that retries and resends do not crash
// more of them. It opens no connections and reads no clock: callers pass in the time since the start of their host.
package quarantine

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits of the list.
const (
	// duration is how long a request stays in quarantine.
	duration = 2 * time.Minute
	// suspicionTime is how long after its last recorded connection break a suspect is remembered.
	suspicionTime = 2 * time.Minute
	// maxSuspects is the maximum number of suspects and, separately, of quarantined requests.
	maxSuspects = 4096
)

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

// suspect is a request that broke the connections of fewer than Config.Targets targets.
type suspect struct {
	targets   []string
	lastBreak time.Duration
	expires   time.Duration
}

// List holds the quarantined requests that a host knows of. It is safe for concurrent use.
type List struct {
	config Config
	mu     sync.Mutex
	// suspects, quarantined and expires are keyed by the fingerprint of a request.
	suspects    map[uint64]*suspect
	quarantined map[uint64]Request
	// expires is when the quarantine of a request ends.
	expires map[uint64]time.Duration
}

// New returns an empty list.
func New(c Config) *List {
	return &List{config: c, suspects: map[uint64]*suspect{}, quarantined: map[uint64]Request{}, expires: map[uint64]time.Duration{}}
}

// RecordBreak records that a target broke its connection during an attempt that started at the given time, and reports
// whether this break is the one for which the request is put in quarantine. An attempt that started before the request's
// last recorded break does not count: targets that fail at the same time break the connections of many requests that are
// not at fault.
func (l *List) RecordBreak(now, started time.Duration, fingerprint uint64, target string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	s := l.suspects[fingerprint]
	if s == nil {
		if len(l.suspects) >= maxSuspects {
			return false
		}
		s = &suspect{}
		l.suspects[fingerprint] = s
	}
	if len(s.targets) > 0 && started < s.lastBreak {
		return false
	}
	s.lastBreak, s.expires = now, now+suspicionTime
	if slices.Contains(s.targets, target) {
		return false
	}
	s.targets = append(s.targets, target)
	if len(s.targets) < l.config.Targets {
		return false
	}
	delete(l.suspects, fingerprint)
	l.add(now, Request{fingerprint, duration, "broke the connections of " + strings.Join(s.targets, " and ")})
	return true
}

// RecordSuccess records that a target sent a response to a request, which is therefore no longer a suspect.
func (l *List) RecordSuccess(fingerprint uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.suspects, fingerprint)
}

// Merge adds requests that a peer has put in quarantine. It ignores those whose remaining time is not between 0 and the
// longest that a quarantine takes.
func (l *List) Merge(now time.Duration, requests []Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range requests {
		if r.Remaining > 0 && r.Remaining <= duration {
			l.add(now, r)
		}
	}
}

func (l *List) add(now time.Duration, r Request) {
	if len(l.quarantined) >= maxSuspects {
		return
	}
	l.quarantined[r.Fingerprint] = r
	l.expires[r.Fingerprint] = max(l.expires[r.Fingerprint], now+r.Remaining)
}

// Lookup returns the quarantined request with the given fingerprint; found is false if there is none.
func (l *List) Lookup(now time.Duration, fingerprint uint64) (request Request, found bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r, found := l.quarantined[fingerprint]
	if !found || now >= l.expires[fingerprint] {
		return Request{}, false
	}
	r.Remaining = l.expires[fingerprint] - now
	return r, true
}

// All returns all requests in quarantine, with the time that remains for each.
func (l *List) All(now time.Duration) []Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sweep(now)
	var requests []Request
	for fingerprint, r := range l.quarantined {
		r.Remaining = l.expires[fingerprint] - now
		requests = append(requests, r)
	}
	return requests
}

// sweep removes quarantined requests and suspects whose time has passed.
func (l *List) sweep(now time.Duration) {
	for fingerprint, expires := range l.expires {
		if now >= expires {
			delete(l.expires, fingerprint)
			delete(l.quarantined, fingerprint)
		}
	}
	for fingerprint, s := range l.suspects {
		if now >= s.expires {
			delete(l.suspects, fingerprint)
		}
	}
}
