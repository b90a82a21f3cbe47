package soak

import (
	"fmt"
	"time"

	"briarcroft/platform/standin"
)

const (
	// lossSlack is the time after the last byte of a request within which a connection may end without the host having read it.
	lossSlack = 200 * time.Millisecond
	// stopAcceptance is how long after SIGTERM a request must be sent at the latest to be excused by a target that is at work
	// in the last sixth of the stop. Later ones are not passed on unless they end in time.
	stopAcceptance = stopTimeout / 2
)

// judgeRequests checks the run counts of all requests and that none was lost, which is only certain once all runs have ended.
func (r *soakRun) judgeRequests() {
	for _, q := range r.requests {
		host, runs, arrivals := q.incarnation.host.name, r.runCount(q.id), r.arrivalCount(q.id)
		if q.unsafe && runs > 1 {
			r.reportViolation("TWICE: unsafe request %s ran %d times", q.id, runs)
		}
		if q.isRefused() && runs > 0 {
			r.reportViolation("REFUSED: request %s was refused as not run (%d) but ran %d times", q.id, q.status, runs)
		}
		if sum, found := r.bodySum(q.id); found && sum != q.bodySum {
			r.reportViolation("UNASKED: request %s ran with another body", q.id)
		}
		if q.complete && !q.cutByStop {
			continue
		}
		excuse := r.excuse(q, arrivals)
		r.excuses[excuse]++
		if excuse == "" {
			r.reportViolation("LOST: %s did not answer %s %s completely (%v)", host, q.method, q.id, r.describe(q, runs, arrivals))
		}
	}
}

// excuse returns why a request may have ended without a complete response, or "" if it may not.
func (r *soakRun) excuse(q *sentRequest, arrivals int) string {
	stopped := q.incarnation.stopTime()
	stopping := !stopped.IsZero() && stopped.Before(q.ended)
	switch {
	case q.incarnation.disruptedDuring(q.span()):
		return "HostDisrupted"
	case q.behindClose:
		return "BehindClose"
	case q.behindBroken:
		return "BehindBrokenResponse"
	case q.begun && q.path == largePath && (q.ended.Sub(q.began) > q.limit || r.isDisturbed(q.span())):
		return "LargeResponseBroken"
	case arrivals == 0 && q.behind:
		return "BehindAndNotPassedOn"
	case arrivals == 0 && (q.sent.IsZero() || q.ended.Sub(q.sent) <= lossSlack) && (q.kept || stopping):
		return "CrossedClose"
	case arrivals == 0 && !q.kept && q.incarnation.shortOfDescriptors():
		return "NoDescriptor"
	case stopping && q.ended.Sub(q.began) >= q.limit:
		return "TimeLimit"
	case stopping && r.wasAtWork(q, stopped):
		return "TargetAtWork"
	case q.cutByStop && r.isDisturbed(q.span()):
		// The link to the target was cut or slow: the response has not arrived at the host.
		return "LinkDisturbed"
	}
	return ""
}

// wasAtWork reports whether a target was at work on a request in the last sixth of a stop, which excuses it if it was sent soon enough.
func (r *soakRun) wasAtWork(q *sentRequest, stopped time.Time) bool {
	lastSixth := stopped.Add(stopTimeout * 5 / 6)
	if q.ended.Before(lastSixth) || q.began.After(stopped.Add(stopAcceptance)) || r.runCount(q.id) == 0 {
		return false
	}
	responded := r.responseTime(q.id)
	return responded.IsZero() || responded.After(lastSixth)
}

// describe returns what is known of a request.
func (r *soakRun) describe(q *sentRequest, runs, arrivals int) string {
	at := func(t time.Time) string {
		if t.IsZero() {
			return "never"
		}
		return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds())
	}
	return fmt.Sprintf("kept %v, behind %v, body %d bytes in %d pieces, began %s, sent %s, ended %s, SIGTERM %s, arrived %d, ran %d, responded %s, status %d, %v",
		q.kept, q.behind, q.bodySize, q.pieces, at(q.began), at(q.sent), at(q.ended), at(q.incarnation.stopTime()), arrivals, runs, at(r.responseTime(q.id)), q.status, q.err)
}

// responseTime returns when a backend server began its newest response to a request; zero if none did.
func (f *fleet) responseTime(id string) time.Time {
	var newest time.Time
	for _, s := range f.targets {
		s.Update(func(*standin.Target) {
			if at := s.Responses[id]; at.After(newest) {
				newest = at
			}
		})
	}
	return newest
}

// bodySum returns the checksum of the body with which a request ran, if it ran with a whole body.
func (f *fleet) bodySum(id string) (sum uint32, found bool) {
	for _, s := range f.targets {
		s.Update(func(*standin.Target) {
			if v, ok := s.BodySums[id]; ok {
				sum, found = v, true
			}
		})
	}
	return sum, found
}

// disturb records a fault of a target, a connection or another host until the returned function is called: it may break off a
// response that a host passes on while it arrives.
func (r *soakRun) disturb() (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.disturbances)
	r.disturbances = append(r.disturbances, timeSpan{from: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.disturbances[i].to = time.Now()
	}
}

// isDisturbed reports whether a fault that can break off a response happened in a span of time.
func (r *soakRun) isDisturbed(s timeSpan) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, d := range r.disturbances {
		if d.overlaps(s) {
			return true
		}
	}
	return false
}
