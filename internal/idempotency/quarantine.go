package idempotency

import (
	"sync"
	"time"
)

// Limits of the quarantine.
const (
	breaksToQuarantine = 2
	quarantineDuration = 2 * time.Minute
	maxFingerprints    = 4096
)

// QuarantinedRequest is a request fingerprint in quarantine.
type QuarantinedRequest struct {
	Fingerprint uint64
	Remaining   time.Duration
	Reason      string
}

type suspect struct {
	targets   [breaksToQuarantine]string
	count     int
	lastBreak time.Duration
	expires   time.Duration
}

// Quarantine keeps requests that crashed several backend servers away from the rest. It is safe for concurrent use.
type Quarantine struct {
	mu          sync.Mutex
	suspects    map[uint64]*suspect
	quarantined map[uint64]QuarantinedRequest
	expires     map[uint64]time.Duration
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine() *Quarantine {
	return &Quarantine{suspects: map[uint64]*suspect{}, quarantined: map[uint64]QuarantinedRequest{}, expires: map[uint64]time.Duration{}}
}

// RecordConnectionBreak notes that a target broke its connection while it ran a try that started at the given time.
// It reports whether the request is now in quarantine. A try that started before the last break does not count:
// targets that fail together break the connections of many requests at once.
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

// RecordSuccess clears the suspicion from a request that a target answered.
func (q *Quarantine) RecordSuccess(fingerprint uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	delete(q.suspects, fingerprint)
}

// Merge adds offenders that a peer found.
func (q *Quarantine) Merge(now time.Duration, offenders []QuarantinedRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, o := range offenders {
		if o.Remaining > 0 && o.Remaining <= quarantineDuration {
			q.add(now, o)
		}
	}
}

func (q *Quarantine) add(now time.Duration, o QuarantinedRequest) {
	if len(q.quarantined) >= maxFingerprints {
		return
	}
	q.quarantined[o.Fingerprint] = o
	q.expires[o.Fingerprint] = max(q.expires[o.Fingerprint], now+o.Remaining)
}

// Lookup returns why a request is in quarantine; held is false when it is not.
func (q *Quarantine) Lookup(now time.Duration, fingerprint uint64) (offender QuarantinedRequest, held bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	o, held := q.quarantined[fingerprint]
	if !held || now >= q.expires[fingerprint] {
		return QuarantinedRequest{}, false
	}
	o.Remaining = q.expires[fingerprint] - now
	return o, true
}

// List returns all offenders, with the time that is left.
func (q *Quarantine) List(now time.Duration) []QuarantinedRequest {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.sweep(now)
	var list []QuarantinedRequest
	for fingerprint, o := range q.quarantined {
		o.Remaining = q.expires[fingerprint] - now
		list = append(list, o)
	}
	return list
}

func (q *Quarantine) sweep(now time.Duration) {
	for fingerprint, until := range q.expires {
		if now >= until {
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
