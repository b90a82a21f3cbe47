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
	slowFactor = 5.0
	muteShare  = 0.5
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

// warmUp is how long requests are not counted, so that policies know something.
const warmUp = 2 * time.Second

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

// lateWorth is what an answer after the goal is worth.
const lateWorth = 0.1

// simulation is one run of the model.
type simulation struct {
	clock
	load      Workload
	random    *rand.Rand
	servers   []*server
	result    Result
	latencies *hdrhistogram.Histogram
	last      uint64
	repeats   int
	probes    int
	held      int
}

// Simulate runs a policy against a load.
func Simulate(p Policy, l Workload) Result {
	s := &simulation{load: l, random: rand.New(rand.NewPCG(l.Seed, 7)), latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	s.servers = newServers(s)
	s.result.Policy, s.result.Workload = p.Name(), l.Name
	player := start(s, p)
	s.faults()
	s.arrive(player)
	s.run(s.length())
	return s.total()
}

// faults schedules the troubles of some servers.
func (s *simulation) faults() {
	struck := int(s.load.FaultShare * float64(len(s.servers)))
	for _, server := range s.servers[:struck] {
		s.after(s.load.FaultFrom, func() { server.fault = s.load.Fault })
		s.after(s.load.FaultUntil, func() { server.fault = NoFault })
	}
}

// rate returns the requests a second at this moment.
func (s *simulation) rate() float64 {
	use := s.load.OfferedLoad
	if s.now >= s.load.BurstFrom && s.now < s.load.BurstUntil {
		use = s.load.BurstOfferedLoad
	}
	return use * Capacity(s.load)
}

// Capacity returns how many requests a second the quiet servers carry on average, all slots but the crowded ones in use.
func Capacity(l Workload) float64 {
	free := 0
	for n := 1; n <= l.Slots; n++ {
		if float64(n) <= l.NearlyFullShare*float64(l.Slots) {
			free = n
		}
	}
	return float64(l.Targets) * (1 - l.NoisyShare) * float64(max(1, free)) / l.ServiceTime.Seconds()
}

// arrive lets callers come until the load ends.
func (s *simulation) arrive(p player) {
	if s.now >= s.load.Duration {
		return
	}
	s.after(time.Duration(s.random.ExpFloat64()/s.rate()*float64(time.Second)), func() {
		s.last++
		j := &job{id: s.last, born: s.now, goal: s.now + s.load.LatencyGoal, deadline: s.now + s.load.CallerTimeout, work: workOf(s.random, s.load)}
		if s.now >= warmUp {
			s.result.Requests++
		}
		p.arrived(j)
		s.arrive(p)
	})
}

// answered counts an answer that has reached the caller.
func (s *simulation) answered(j *job) {
	if j.ended {
		return
	}
	j.ended = true
	if j.born < warmUp || s.now > j.deadline {
		return
	}
	if s.now <= j.goal {
		s.result.InGoal++
	} else {
		s.result.Late++
	}
	// The histogram holds a minute; callers wait for seconds.
	_ = s.latencies.RecordValue(int64((s.now - j.born) / time.Microsecond))
}

// refused counts a request that was turned away.
func (s *simulation) refused(j *job) {
	if !j.ended && j.born >= warmUp {
		s.result.Refused++
		if 2*(s.now-j.born) > s.load.CallerTimeout {
			s.held++
		}
	}
	j.ended = true
}

// length is how long a run takes: until the last caller has its answer or gives up.
func (s *simulation) length() time.Duration { return s.load.Duration + s.load.CallerTimeout }

func (s *simulation) total() Result {
	r := s.result
	r.Lost = r.Requests - r.InGoal - r.Late - r.Refused
	if r.Requests > 0 {
		r.Utility = (float64(r.InGoal) + lateWorth*float64(r.Late)) / float64(r.Requests)
		r.ExtraAttempts = float64(s.repeats) / float64(r.Requests)
	}
	if r.Refused > 0 {
		r.LateRefusalShare = float64(s.held) / float64(r.Refused)
	}
	r.P50 = time.Duration(s.latencies.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(s.latencies.ValueAtQuantile(99)) * time.Microsecond
	r.Probes = float64(s.probes) / float64(s.load.Targets) / s.length().Seconds()
	return r
}
