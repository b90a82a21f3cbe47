// Package model simulates load-balancing policies in virtual time, to compare and test them without a network.
//
// A workload describes a service: backend servers with a number of slots and a short queue, noisy neighbors that slow
// servers down for fractions of a second, callers with a latency goal and a timeout, and faults of servers. The policies
// are placement by a home, as the gateway does it with package placement, an ideal queue as the upper bound, and the
// usual least-requests and random load balancing.
package model

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// FaultKind is a kind of fault of a backend server.
type FaultKind int

// Kinds of faults.
const (
	// NoFault means that the server works normally.
	NoFault FaultKind = iota
	// Slow means that requests take slowFaultFactor times as long, while the pace that the server reports does not show
	// it.
	Slow
	// Mute means that the server runs requests but sends no response to a share of them, muteFaultDropShare.
	Mute
	// Paced means that neighbors slow the server down all the time, by Workload.NoisyPace.
	Paced
	// Gone means that the server cannot be reached.
	Gone
)

// String implements fmt.Stringer.
func (k FaultKind) String() string { return [...]string{"NoFault", "Slow", "Mute", "Paced", "Gone"}[k] }

// Severity of the faults.
const (
	slowFaultFactor    = 5.0
	muteFaultDropShare = 0.5
)

// Workload describes a service with its backend servers, its callers and the disturbances to simulate.
type Workload struct {
	Name string
	// Targets is the number of backend servers, and Slots the number of requests that each runs concurrently.
	Targets int
	Slots   int
	// ServiceTime is the mean time that a request takes on an undisturbed server. Service times are log-normal, and
	// ServiceTimeSigma is the standard deviation of their natural logarithm.
	ServiceTime      time.Duration
	ServiceTimeSigma float64
	// LatencyGoal is the latency up to which a response has its full utility. CallerTimeout is how long callers wait.
	LatencyGoal   time.Duration
	CallerTimeout time.Duration
	// RouteTimeout limits each attempt of a request at the entry host; zero means that only CallerTimeout does.
	RouteTimeout time.Duration
	// Retries is how often a caller comes back after a refusal. It waits as long as it is told, up to a third of the time that it
	// has left; the share ImpatientShare of the callers comes back at once. CallerDelay is the one-way delay to callers.
	Retries        int
	ImpatientShare float64
	CallerDelay    time.Duration
	// Classes are the classes of requests; none means one class.
	Classes []Class
	// OfferedLoad is the arrival rate of requests as a multiple of Capacity.
	OfferedLoad float64
	// BurstOfferedLoad replaces OfferedLoad between BurstFrom and BurstUntil.
	BurstOfferedLoad      float64
	BurstFrom, BurstUntil time.Duration
	// Duration is the length of the period in which requests arrive.
	Duration time.Duration
	// NetworkDelay is the one-way delay between two hosts, or between a host and a backend server.
	NetworkDelay time.Duration
	// NoisyShare is the mean share of servers slowed by noisy neighbors. A request takes NoisyPace times as long there.
	// Whether a server is slowed is drawn anew at random times, NoiseInterval apart on average.
	NoisyShare    float64
	NoisyPace     float64
	NoiseInterval time.Duration
	// NearlyFullSlowdown multiplies the service time of a request that starts on a nearly full server, that is, one
	// that has more than NearlyFullShare of its slots in use, this request included.
	NearlyFullShare    float64
	NearlyFullSlowdown float64
	// Fault is the fault that FaultShare of the servers have between FaultFrom and FaultUntil.
	Fault                 FaultKind
	FaultShare            float64
	FaultFrom, FaultUntil time.Duration
	// Domains holds the number of servers of each failure domain, in order; empty means that there is one domain. Each sends
	// the same number of requests on average. A domain's part of the requests rises and falls by the factor 1 ± Wave over
	// wavePeriod, and requests arrive Clump at a time from one domain.
	Domains []int
	Wave    float64
	Clump   int
	// ResponseBytes is the mean size of a response. Sizes are exponentially distributed.
	ResponseBytes float64
	// Repeatable is set if a request may run more than once, so that it may be hedged.
	Repeatable bool
	// Seed is the seed of all random numbers in the simulation.
	Seed uint64
}

// Class is a class of requests of one service. Share is its share of all requests, and Worth the utility of one that is answered
// within the goal.
type Class struct {
	Name         string
	Priority     int
	Share, Worth float64
}

// warmUpDuration is the time at the start whose requests are not counted, because policies have not yet learned the state
// of the servers.
const warmUpDuration = 2 * time.Second

// Result is the result of simulating a policy under a workload. Requests that arrive during the warm-up are not counted.
type Result struct {
	Policy   string
	Workload string
	// Requests is the number of requests. Each of them is in one of the next four counts.
	Requests int
	// InGoal counts responses within the latency goal, and Late those after it but within the caller's timeout.
	InGoal int
	Late   int
	// Refused counts requests that the policy or a full server refused, and Lost those for which the caller timed out.
	Refused int
	Lost    int
	// Utility is the mean utility of a request: 1 for a response within the goal, lateUtility for a later one, else 0.
	Utility float64
	// P50 and P99 are quantiles of the latency of responses.
	P50 time.Duration
	P99 time.Duration
	// P999 is the quantile 0.999.
	P999 time.Duration
	// HedgeWork is the share of the server time that hedges took, and ServerTime all server time per counted request, both with the
	// warm-up.
	HedgeWork  float64
	ServerTime time.Duration
	// Probes is the number of health probes per target and second.
	Probes float64
	// ExtraAttempts is the number of hedges, those during the warm-up included, per counted request. There are no retries
	// in the simulation.
	ExtraAttempts float64
	// LateRefusalShare is the share of refused requests whose refusal came after more than half of the caller's timeout.
	LateRefusalShare float64
	// RefusedAtOnce and RefusedWaiting count refused attempts: those that were refused when they were submitted, and others.
	RefusedAtOnce, RefusedWaiting int
	// Returns counts callers that came back after a refusal when they had been told to, and ReturnsServed those of them whose next
	// attempt was answered.
	Returns, ReturnsServed int
	// PatientWorth and ImpatientWorth are the utility of callers that wait before they come back and of those that do not.
	PatientWorth, ImpatientWorth float64
	// CrossShare is the share of the bytes of responses that crossed between failure domains.
	CrossShare float64
}

// lateUtility is the utility of a response after the latency goal.
const lateUtility = 0.1

// simulation is the state of one simulation.
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
	// worth is the sum of the utilities, and patient and impatient those of callers that wait and do not wait before they return.
	worth              float64
	patient, impatient worthSum
	// bytes counts those of responses, and crossBytes those that came from another failure domain than the request.
	bytes, crossBytes float64
	// serverTime is the time that all runs took on servers, and hedgeTime that of hedges.
	serverTime, hedgeTime time.Duration
}

// worthSum is a sum of utilities of requests.
type worthSum struct {
	worth    float64
	requests int
}

func (w worthSum) mean() float64 { return w.worth / float64(max(1, w.requests)) }

// Simulate simulates a policy under a workload. The same arguments give the same result.
func Simulate(p Policy, w Workload) Result {
	s := &simulation{workload: w, random: rand.New(rand.NewPCG(w.Seed, 7)),
		latencies: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
	s.servers = newServers(s)
	s.result.Policy, s.result.Workload = p.Name(), w.Name
	b := newBalancer(s, p)
	s.scheduleFaults()
	s.scheduleArrivals(b)
	s.runUntil(s.totalDuration())
	return s.summarize()
}

// scheduleFaults schedules the start and the end of the faults.
func (s *simulation) scheduleFaults() {
	faulty := int(s.workload.FaultShare * float64(len(s.servers)))
	for _, server := range s.servers[:faulty] {
		s.schedule(s.workload.FaultFrom, func() { server.fault = s.workload.Fault })
		s.schedule(s.workload.FaultUntil, func() { server.fault = NoFault })
	}
}

// arrivalRate returns the current arrival rate in requests per second.
func (s *simulation) arrivalRate() float64 {
	offered := s.workload.OfferedLoad
	if s.now >= s.workload.BurstFrom && s.now < s.workload.BurstUntil {
		offered = s.workload.BurstOfferedLoad
	}
	return offered * Capacity(s.workload)
}

// Capacity returns the capacity of a service in requests per second. It counts the mean number of servers that are not
// slowed by neighbors, and on each the slots that can be in use before it is nearly full.
func Capacity(w Workload) float64 {
	usable := 0
	for n := 1; n <= w.Slots; n++ {
		if float64(n) <= w.NearlyFullShare*float64(w.Slots) {
			usable = n
		}
	}
	return float64(w.Targets) * (1 - w.NoisyShare) * float64(max(1, usable)) / w.ServiceTime.Seconds()
}

// scheduleArrivals schedules the arrival of the next request, which schedules the one after it, until the workload ends.
// Arrivals are a Poisson process.
func (s *simulation) scheduleArrivals(b balancer) {
	if s.now >= s.workload.Duration {
		return
	}
	clump := max(1, s.workload.Clump)
	s.schedule(time.Duration(s.random.ExpFloat64()/s.arrivalRate()*float64(clump)*float64(time.Second)), func() {
		domain := s.drawDomain()
		for range clump {
			c := s.newCall(domain)
			if s.now >= warmUpDuration {
				s.result.Requests++
				s.sumOf(c).requests++
			}
			s.submit(b, c)
		}
		s.scheduleArrivals(b)
	})
}

// wavePeriod is the time in which the demand of a failure domain rises and falls once.
const wavePeriod = 8 * time.Second

// drawDomain returns the failure domain of the host to which a request comes. The waves of the domains are evenly shifted
// against each other, so that the demand of all of them together stays the same.
func (s *simulation) drawDomain() int {
	domains := float64(len(s.workload.Domains))
	if domains == 0 {
		return 0
	}
	for {
		domain := s.random.IntN(len(s.workload.Domains))
		phase := 2 * math.Pi * (s.now.Seconds()/wavePeriod.Seconds() + float64(domain)/domains)
		if s.random.Float64()*(1+s.workload.Wave) < 1+s.workload.Wave*math.Sin(phase) {
			return domain
		}
	}
}

// recordBytes counts the bytes of a response that a server sends.
func (s *simulation) recordBytes(j *job, from *server) {
	if j.arrivedAt < warmUpDuration {
		return
	}
	s.bytes += j.bytes
	if from.domain != j.domain {
		s.crossBytes += j.bytes
	}
}

// recordServerTime counts the time that a run took on its server, until it was finished or canceled.
func (s *simulation) recordServerTime(r *run) {
	if !r.started {
		return
	}
	s.serverTime += s.now - r.startedAt
	if r.hedge {
		s.hedgeTime += s.now - r.startedAt
	}
}

// totalDuration returns the virtual time of the simulation, which ends when the last caller times out.
func (s *simulation) totalDuration() time.Duration {
	return s.workload.Duration + s.workload.CallerTimeout
}

func (s *simulation) summarize() Result {
	r := s.result
	r.Lost = r.Requests - r.InGoal - r.Late - r.Refused
	if r.Requests > 0 {
		r.Utility = s.worth / float64(r.Requests)
		r.PatientWorth, r.ImpatientWorth = s.patient.mean(), s.impatient.mean()
		r.ExtraAttempts = float64(s.extraAttempts) / float64(r.Requests)
	}
	if r.Refused > 0 {
		r.LateRefusalShare = float64(s.lateRefusals) / float64(r.Refused)
	}
	if s.bytes > 0 {
		r.CrossShare = s.crossBytes / s.bytes
	}
	r.P50 = time.Duration(s.latencies.ValueAtQuantile(50)) * time.Microsecond
	r.P99 = time.Duration(s.latencies.ValueAtQuantile(99)) * time.Microsecond
	r.P999 = time.Duration(s.latencies.ValueAtQuantile(99.9)) * time.Microsecond
	if s.serverTime > 0 {
		r.HedgeWork = s.hedgeTime.Seconds() / s.serverTime.Seconds()
		r.ServerTime = s.serverTime / time.Duration(max(1, r.Requests))
	}
	r.Probes = float64(s.probes) / float64(s.workload.Targets) / s.totalDuration().Seconds()
	return r
}
