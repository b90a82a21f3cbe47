package claim

import (
	"sync"
	"time"
)

// Limits of the quarantine.
const (
	// breaksToQuarantine is the number of targets (backend servers) that must break their connection during an attempt of
	// the same request before the request is put in quarantine.
	breaksToQuarantine = 2
	// quarantineDuration is how long a request stays in quarantine, and how long after its last recorded connection break
	// a suspect is remembered.
	quarantineDuration = 2 * time.Minute
	// maxFingerprints is the maximum number of suspects and, separately, of quarantined requests.
	maxFingerprints = 4096
)

// QuarantinedRequest is a request, identified by its fingerprint, that is in quarantine.
type QuarantinedRequest struct {
	// Fingerprint is a hash of the request, equal for every resend of it.
	Fingerprint uint64
	// Remaining is the time until the quarantine ends.
	Remaining time.Duration
	Reason    string
}

// suspect is a request that broke the connections of fewer targets than breaksToQuarantine.
type suspect struct {
	targets [breaksToQuarantine]string
	// count is the number of targets recorded.
	count     int
	lastBreak time.Duration
	expires   time.Duration
}

// Quarantine lists requests that appear to crash backend servers, which are refused so that retries and resends do not
// crash more of them. It is safe for concurrent use.
type Quarantine struct {
	mu sync.Mutex
	// suspects, quarantined and expires are keyed by the fingerprint of a request.
	suspects    map[uint64]*suspect
	quarantined map[uint64]QuarantinedRequest
	// expires is when the quarantine of a request ends.
	expires map[uint64]time.Duration
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: map[uint64]*suspect{}, quarantined: map[uint64]QuarantinedRequest{}, expires: map[uint64]time.Duration{}}
}

// RecordConnectionBreak records that a target broke its connection during an attempt that started at the given time,
// and reports whether this break is the one for which the request is put in quarantine. An attempt that started before
// the request's last recorded break does not count: targets that fail at the same time break the connections of many
// requests that are not at fault.
func (q *Quarantine) RecordConnectionBreak(now, started time.Duration, fingerprint uint64, target string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(now)
	s := q.suspects[fingerprint]
	if s == nil {
		if len(q.suspects) >= maxFingerprints {
			return false
		}
		s = &suspect{}
		q.suspects[fingerprint] = s
	}
	if s.count > 0 && started < s.lastBreak {
		return false
	}
	s.lastBreak, s.expires = now, now+quarantineDuration
	for _, seen := range s.targets[:s.count] {
		if seen == target {
			return false
		}
	}
	s.targets[s.count] = target
	s.count++
	if s.count < breaksToQuarantine {
		return false
	}
	delete(q.suspects, fingerprint)
	q.add(now, QuarantinedRequest{fingerprint, quarantineDuration, "broke the connections of " + s.targets[0] + " and " + s.targets[1]})
	return true
}

// RecordSuccess records that a target sent a response to a request, which is therefore no longer a suspect.
func (q *Quarantine) RecordSuccess(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.suspects, fingerprint)
}

// Merge adds requests that a peer has put in quarantine. It ignores those whose remaining time is not between 0 and
// quarantineDuration.
func (q *Quarantine) Merge(now time.Duration, requests []QuarantinedRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, r := range requests {
		if r.Remaining > 0 && r.Remaining <= quarantineDuration {
			q.add(now, r)
		}
	}
}

func (q *Quarantine) add(now time.Duration, r QuarantinedRequest) {
	if len(q.quarantined) >= maxFingerprints {
		return
	}
	q.quarantined[r.Fingerprint] = r
	q.expires[r.Fingerprint] = max(q.expires[r.Fingerprint], now+r.Remaining)
}

// Lookup returns the quarantined request with the given fingerprint; found is false if there is none.
func (q *Quarantine) Lookup(now time.Duration, fingerprint uint64) (request QuarantinedRequest, found bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, found := q.quarantined[fingerprint]
	if !found || now >= q.expires[fingerprint] {
		return QuarantinedRequest{}, false
	}
	r.Remaining = q.expires[fingerprint] - now
	return r, true
}

// List returns all requests in quarantine, with the time that remains for each.
func (q *Quarantine) List(now time.Duration) []QuarantinedRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(now)
	var requests []QuarantinedRequest
	for fingerprint, r := range q.quarantined {
		r.Remaining = q.expires[fingerprint] - now
		requests = append(requests, r)
	}
	return requests
}

// sweep removes quarantined requests and suspects whose time has passed.
func (q *Quarantine) sweep(now time.Duration) {
	for fingerprint, expires := range q.expires {
		if now >= expires {
			delete(q.expires, fingerprint)
			delete(q.quarantined, fingerprint)
		}
	}
	for fingerprint, s := range q.suspects {
		if now >= s.expires {
			delete(q.suspects, fingerprint)
		}
	}
}
