package model

import (
	"fmt"
	"time"
)

// call is a request of a caller, with all its attempts.
type call struct {
	class     Class
	domain    int
	bytes     float64
	caller    string
	arrivedAt time.Duration
	// goal and deadline are when a response is worth less, and nothing.
	goal, deadline time.Duration
	// serviceTime is the time in seconds that the request takes on an undisturbed server.
	serviceTime float64
	retriesLeft int
	// impatient is set if the caller comes back without waiting.
	impatient bool
	// returned is set if the last attempt came after the whole time that the caller had been told to wait.
	returned bool
	finished bool
}

// callers is the number of different callers.
const callers = 50

// newCall draws a request that arrives now at a host of a failure domain.
func (s *simulation) newCall(domain int) *call {
	w := s.workload
	c := &call{
		class: Class{Name: "model", Worth: 1}, arrivedAt: s.now, goal: s.now + w.LatencyGoal, deadline: s.now + w.CallerTimeout,
		retriesLeft: w.Retries, serviceTime: drawServiceTime(s.random, w), domain: domain,
	}
	if len(w.Domains) > 0 {
		c.bytes = w.ResponseBytes * s.random.ExpFloat64()
	}
	if w.Retries > 0 {
		c.caller = fmt.Sprint("c", s.random.IntN(callers))
		c.impatient = s.random.Float64() < w.ImpatientShare
	}
	if len(w.Classes) > 0 {
		draw := s.random.Float64()
		for _, class := range w.Classes {
			if c.class = class; draw < class.Share {
				break
			}
			draw -= class.Share
		}
	}
	return c
}

// submit makes an attempt of a request.
func (s *simulation) submit(b balancer, c *call) {
	s.lastID++
	deadline := c.deadline
	if s.workload.RouteTimeout > 0 {
		deadline = min(deadline, s.now+s.workload.RouteTimeout)
	}
	b.submit(&job{id: s.lastID, call: c, arrivedAt: s.now, goal: c.goal, deadline: deadline, serviceTime: c.serviceTime,
		domain: c.domain, bytes: c.bytes, balancer: b})
}

func (s *simulation) sumOf(c *call) *worthSum {
	if c.impatient {
		return &s.impatient
	}
	return &s.patient
}

// recordResponse records that a response has reached the caller.
func (s *simulation) recordResponse(j *job) {
	if j.finished {
		return
	}
	j.finished = true
	c := j.call
	if c.finished || s.now > j.deadline {
		return
	}
	c.finished = true
	if c.arrivedAt < warmUpDuration {
		return
	}
	if c.returned {
		s.result.ReturnsServed++
	}
	worth := c.class.Worth
	if s.now <= c.goal {
		s.result.InGoal++
	} else {
		s.result.Late++
		worth *= lateUtility
	}
	s.worth += worth
	s.sumOf(c).worth += worth
	// RecordValue fails above a minute, which latencies do not reach, since callers time out after seconds.
	_ = s.latencies.RecordValue(int64((s.now - c.arrivedAt) / time.Microsecond))
}

// recordRefusal records that an attempt was refused, and schedules the next one.
func (s *simulation) recordRefusal(j *job, retryAfter time.Duration) {
	if j.finished {
		return
	}
	j.finished = true
	c := j.call
	counted := c.arrivedAt >= warmUpDuration
	if counted && j.refusedAtOnce {
		s.result.RefusedAtOnce++
	} else if counted {
		s.result.RefusedWaiting++
	}
	left := c.deadline - s.now - 2*s.workload.CallerDelay
	if c.retriesLeft == 0 || left <= 0 {
		c.finished = true
		if counted {
			s.result.Refused++
			if 2*(s.now-c.arrivedAt) > s.workload.CallerTimeout {
				s.lateRefusals++
			}
		}
		return
	}
	c.retriesLeft--
	wait := min(retryAfter, left/3)
	c.returned = !c.impatient && wait == retryAfter
	if c.impatient {
		wait = 0
	}
	if c.returned && counted {
		s.result.Returns++
	}
	s.schedule(wait+2*s.workload.CallerDelay, func() { s.submit(j.balancer, c) })
}
