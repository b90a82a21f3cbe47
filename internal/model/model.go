// Package model plays policies against backend servers in virtual time: slots, short queues, neighbours whose load shifts
// within milliseconds, callers with a goal and a time limit, and faults. It ranks policies and tests them without a network.
package model

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// FaultKind is what goes wrong with some of the servers.
type FaultKind int

// The kinds of fault.
const (
	// NoFault is a server in order.
	NoFault FaultKind = iota
	// Slow servers take several times as long, and do not say so.
	Slow
	// Mute servers run requests and lose a part of the answers.
	Mute
)

// String returns the kind's name.
func (k FaultKind) String() string { return [...]string{"NoFault", "Slow", "Mute"}[k] }

// Strengths of the faults.
const (
	slowFaultFactor    = 5.0
	muteFaultDropShare = 0.5
)

// Workload is a service with its callers and its troubles.
type Workload struct {
	Name    string
	Targets int
	Slots   int
	// ServiceTime is the mean time of a request at the usual pace, and Spread the deviation of its logarithm.
	ServiceTime      time.Duration
	ServiceTimeSigma float64
	// LatencyGoal is when an answer stops being worth most; Patience is how long callers wait.
	LatencyGoal   time.Duration
	CallerTimeout time.Duration
	// OfferedLoad is the rate of requests, relative to what quiet servers carry.
	OfferedLoad float64
	// BurstOfferedLoad takes its place between BurstFrom and BurstUntil.
	BurstOfferedLoad      float64
	BurstFrom, BurstUntil time.Duration
	Duration              time.Duration
	// NetworkDelay is the way between two hosts, or a host and a server.
	NetworkDelay time.Duration
	// NoisyShare of the servers are Noise times slower; which ones is drawn anew every NoiseEvery, on average.
	NoisyShare    float64
	NoisyPace     float64
	NoiseInterval time.Duration
	// NearlyFullSlowdown slows a run that starts when more than CrowdedShare of the slots are taken.
	NearlyFullShare    float64
	NearlyFullSlowdown float64
	// Fault strikes FaultShare of the servers between FaultFrom and FaultUntil.
	Fault                 FaultKind
	FaultShare            float64
	FaultFrom, FaultUntil time.Duration
	Repeatable            bool
	Seed                  uint64
}

// warmUpDuration is how long requests are not counted, so that policies know something.
const warmUpDuration = 2 * time.Second

// Result is how a policy did.
type Result struct {
	Policy   string
	Workload string
	Requests int
	InGoal   int
	Late     int
	Refused  int
	Lost     int
	// Utility is the share of the worth that was earned: 1 in the goal, lateWorth afterwards.
	Utility float64
	P50     time.Duration
	P99     time.Duration
	// Probes counts per target and second.
	Probes float64
	// ExtraAttempts counts runs beyond the first, per request.
	ExtraAttempts float64
	// LateRefusalShare is the share of refused requests that waited for more than half of their patience before they were refused.
	LateRefusalShare float64
}

// lateUtility is what an answer after the goal is worth.
const lateUtility = 0.1

// simulation is one run of the model.
type simulation struct {
	clock
	workload      Workload
	random        *rand.Rand
	servers       []*server
	result        Result
	latencies     *hdrhistogram.Histogram
	lastID        uint64
	extraAttempts int
	probes        int
	lateRefusals  int
}

// Simulate runs a policy against a load.
func Simulate(p Policy, w Workload) Result {
	s := &simulation{workload: w, random: rand.New(rand.NewPCG(w.Seed, 7)), latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	s.servers = newServers(s)
	s.result.Policy, s.result.Workload = p.Name(), w.Name
	b := newBalancer(s, p)
	s.scheduleFaults()
	s.scheduleArrivals(b)
	s.runUntil(s.totalDuration())
	return s.summarize()
}

// scheduleFaults schedules the troubles of some servers.
func (s *simulation) scheduleFaults() {
	faulty := int(s.workload.FaultShare * float64(len(s.servers)))
	for _, server := range s.servers[:faulty] {
		s.schedule(s.workload.FaultFrom, func() { server.fault = s.workload.Fault })
		s.schedule(s.workload.FaultUntil, func() { server.fault = NoFault })
	}
}

// arrivalRate returns the requests a second at this moment.
func (s *simulation) arrivalRate() float64 {
	offered := s.workload.OfferedLoad
	if s.now >= s.workload.BurstFrom && s.now < s.workload.BurstUntil {
		offered = s.workload.BurstOfferedLoad
	}
	return offered * Capacity(s.workload)
}

// Capacity returns how many requests a second the quiet servers carry on average, all slots but the crowded ones in use.
func Capacity(w Workload) float64 {
	usable := 0
	for n := 1; n <= w.Slots; n++ {
		if float64(n) <= w.NearlyFullShare*float64(w.Slots) {
			usable = n
		}
	}
	return float64(w.Targets) * (1 - w.NoisyShare) * float64(max(1, usable)) / w.ServiceTime.Seconds()
}

// scheduleArrivals lets callers come until the load ends.
func (s *simulation) scheduleArrivals(b balancer) {
	if s.now >= s.workload.Duration {
		return
	}
	s.schedule(time.Duration(s.random.ExpFloat64()/s.arrivalRate()*float64(time.Second)), func() {
		s.lastID++
		j := &job{id: s.lastID, arrivedAt: s.now, goal: s.now + s.workload.LatencyGoal, deadline: s.now + s.workload.CallerTimeout, serviceTime: drawServiceTime(s.random, s.workload)}
		if s.now >= warmUpDuration {
			s.result.Requests++
		}
		b.submit(j)
		s.scheduleArrivals(b)
	})
}

// recordResponse counts an answer that has reached the caller.
func (s *simulation) recordResponse(j *job) {
	if j.finished {
		return
	}
	j.finished = true
	if j.arrivedAt < warmUpDuration || s.now > j.deadline {
		return
	}
	if s.now <= j.goal {
		s.result.InGoal++
	} else {
		s.result.Late++
	}
	// The histogram holds a minute; callers wait for seconds.
	_ = s.latencies.RecordValue(int64((s.now - j.arrivedAt) / time.Microsecond))
}

// recordRefusal counts a request that was turned away.
func (s *simulation) recordRefusal(j *job) {
	if !j.finished && j.arrivedAt >= warmUpDuration {
		s.result.Refused++
		if 2*(s.now-j.arrivedAt) > s.workload.CallerTimeout {
			s.lateRefusals++
		}
	}
	j.finished = true
}

// totalDuration is how long a run takes: until the last caller has its answer or gives up.
func (s *simulation) totalDuration() time.Duration {
	return s.workload.Duration + s.workload.CallerTimeout
}

func (s *simulation) summarize() Result {
	r := s.result
	r.Lost = r.Requests - r.InGoal - r.Late - r.Refused
	if r.Requests > 0 {
		r.Utility = (float64(r.InGoal) + lateUtility*float64(r.Late)) / float64(r.Requests)
		r.ExtraAttempts = float64(s.extraAttempts) / float64(r.Requests)
	}
	if r.Refused > 0 {
		r.LateRefusalShare = float64(s.lateRefusals) / float64(r.Refused)
	}
	r.P50 = time.Duration(s.latencies.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(s.latencies.ValueAtQuantile(99)) * time.Microsecond
	r.Probes = float64(s.probes) / float64(s.workload.Targets) / s.totalDuration().Seconds()
	return r
}
