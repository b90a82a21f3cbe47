package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"briarcroft/internal/placement"
)

// job is one attempt of a request of a caller.
type job struct {
	id             uint64
	call           *call
	balancer       balancer
	arrivedAt      time.Duration
	goal, deadline time.Duration
	// serviceTime is the time in seconds that the request takes on an undisturbed server.
	serviceTime float64
	// domain is the failure domain of the host to which the request comes, and bytes the size of its response.
	domain int
	bytes  float64
	// finished is set once the caller has received a response or a refusal.
	finished bool
	// submitted is set once the home has returned from Submit, and refusedAtOnce if it refused the attempt before.
	submitted, refusedAtOnce bool
}

// server is a backend server. It runs a limited number of requests concurrently and queues a few more.
type server struct {
	sim   *simulation
	name  string
	index int
	// domain is the failure domain.
	domain int
	// pace is the factor by which noisy neighbors lengthen service times at present, at least 1.
	pace    float64
	running []*run
	queued  []*run
	fault   FaultKind
}

// run is one attempt of a request on a server.
type run struct {
	job       *job
	server    *server
	startedAt time.Duration
	finished  bool
	// hedge is set if the run is a hedge, and started once it has left the queue of the server.
	hedge, started bool
	// onResponse is called when the server sends the response, with true. Dropped and canceled runs do not call it.
	onResponse func(answered bool)
}

// accept starts or queues a run. It returns false if all slots are in use and the queue, which holds two runs per slot,
// is full.
func (s *server) accept(r *run) bool {
	r.server = s
	switch {
	case len(s.running) < s.sim.workload.Slots:
		s.start(r)
	case len(s.queued) < 2*s.sim.workload.Slots:
		s.queued = append(s.queued, r)
	default:
		return false
	}
	return true
}

// start starts a run. The pace, the occupied slots and the fault of the server at this time determine its duration; later
// changes do not.
func (s *server) start(r *run) {
	workload := s.sim.workload
	s.running = append(s.running, r)
	r.startedAt, r.started = s.sim.now, true
	factor := s.pace
	if float64(len(s.running)) > workload.NearlyFullShare*float64(workload.Slots) {
		factor *= workload.NearlyFullSlowdown
	}
	if s.fault == Slow {
		factor *= slowFaultFactor
	}
	s.sim.schedule(time.Duration(r.job.serviceTime*factor*float64(time.Second)), func() { s.finish(r) })
}

// finish ends a run and sends the response. A server with the fault Mute drops a share of the responses.
func (s *server) finish(r *run) {
	if r.finished {
		return
	}
	r.finished = true
	dropped := s.fault == Mute && s.sim.random.Float64() < muteFaultDropShare
	if !dropped {
		s.sim.recordBytes(r.job, s)
		r.onResponse(true)
	}
	s.release(r)
}

// cancel ends a run whose connection was closed by the host, and frees its slot.
func (s *server) cancel(r *run) {
	if r.finished {
		return
	}
	r.finished = true
	s.release(r)
}

// release frees the slot of a run, or removes it from the queue, and starts queued runs.
func (s *server) release(r *run) {
	s.sim.recordServerTime(r)
	isSameRun := func(other *run) bool { return other == r }
	s.queued = slices.DeleteFunc(s.queued, isSameRun)
	s.running = slices.DeleteFunc(s.running, isSameRun)
	for len(s.queued) > 0 && len(s.running) < s.sim.workload.Slots {
		next := s.queued[0]
		s.queued = s.queued[1:]
		s.start(next)
	}
}

// loadReport returns the load report that the server sends with responses and probes.
func (s *server) loadReport() placement.LoadReport {
	return placement.LoadReport{Running: len(s.running), Waiting: len(s.queued), Slots: s.sim.workload.Slots, Pace: s.pace}
}

// redrawPace draws a new pace and schedules the next draw after an exponentially distributed time.
func (s *server) redrawPace() {
	workload := s.sim.workload
	s.pace = 1
	if s.sim.random.Float64() < workload.NoisyShare || s.fault == Paced {
		s.pace = workload.NoisyPace
	}
	s.sim.schedule(time.Duration(s.sim.random.ExpFloat64()*float64(workload.NoiseInterval)), s.redrawPace)
}

func newServers(sim *simulation) []*server {
	var servers []*server
	domain, last := 0, 0
	for i := range sim.workload.Targets {
		if domains := sim.workload.Domains; domain < len(domains) && i >= last+domains[domain] {
			last += domains[domain]
			domain++
		}
		s := &server{sim: sim, name: fmt.Sprintf("t%02d", i), index: i, domain: domain}
		s.redrawPace()
		servers = append(servers, s)
	}
	return servers
}

// drawServiceTime returns a random service time on an undisturbed server, in seconds. The term -sigma²/2 makes the mean
// of the log-normal distribution equal to w.ServiceTime.
func drawServiceTime(random *rand.Rand, w Workload) float64 {
	return w.ServiceTime.Seconds() * math.Exp(w.ServiceTimeSigma*random.NormFloat64()-w.ServiceTimeSigma*w.ServiceTimeSigma/2)
}
