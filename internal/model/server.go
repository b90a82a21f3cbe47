package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"briarcroft/internal/placement"
)

// job is one request of a caller.
type job struct {
	id             uint64
	arrivedAt      time.Duration
	goal, deadline time.Duration
	serviceTime    float64
	finished       bool
}

// server is one backend server: so many slots and a short queue, on a machine that it shares with noisy neighbours.
type server struct {
	sim     *simulation
	name    string
	index   int
	pace    float64
	running []*run
	queued  []*run
	fault   FaultKind
}

// run is one request at one server.
type run struct {
	job       *job
	server    *server
	startedAt time.Duration
	finished  bool
	// onResponse is told how the run ended, at the server and at its time.
	onResponse func(answered bool)
}

// accept takes a run, or reports that it is full.
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

// start starts a run. What it takes is settled at its start, by the machine's pace and by how full the server is.
func (s *server) start(r *run) {
	workload := s.sim.workload
	s.running = append(s.running, r)
	r.startedAt = s.sim.now
	factor := s.pace
	if float64(len(s.running)) > workload.NearlyFullShare*float64(workload.Slots) {
		factor *= workload.NearlyFullSlowdown
	}
	if s.fault == Slow {
		factor *= slowFaultFactor
	}
	s.sim.schedule(time.Duration(r.job.serviceTime*factor*float64(time.Second)), func() { s.finish(r) })
}

// finish finishes a run; a mute server loses every other answer.
func (s *server) finish(r *run) {
	if r.finished {
		return
	}
	r.finished = true
	dropped := s.fault == Mute && s.sim.random.Float64() < muteFaultDropShare
	if !dropped {
		r.onResponse(true)
	}
	s.release(r)
}

// cancel drops a run whose connection was closed.
func (s *server) cancel(r *run) {
	if r.finished {
		return
	}
	r.finished = true
	s.release(r)
}

func (s *server) release(r *run) {
	isRun := func(other *run) bool { return other == r }
	s.queued = slices.DeleteFunc(s.queued, isRun)
	s.running = slices.DeleteFunc(s.running, isRun)
	for len(s.queued) > 0 && len(s.running) < s.sim.workload.Slots {
		next := s.queued[0]
		s.queued = s.queued[1:]
		s.start(next)
	}
}

// loadReport is what the server says of its load.
func (s *server) loadReport() placement.Load {
	return placement.Load{Running: len(s.running), Waiting: len(s.queued), Slots: s.sim.workload.Slots, Pace: s.pace}
}

// redrawPace draws a new pace again and again.
func (s *server) redrawPace() {
	workload := s.sim.workload
	s.pace = 1
	if s.sim.random.Float64() < workload.NoisyShare {
		s.pace = workload.NoisyPace
	}
	s.sim.schedule(time.Duration(s.sim.random.ExpFloat64()*float64(workload.NoiseInterval)), s.redrawPace)
}

func newServers(sim *simulation) []*server {
	var list []*server
	for i := range sim.workload.Targets {
		s := &server{sim: sim, name: fmt.Sprintf("t%02d", i), index: i}
		s.redrawPace()
		list = append(list, s)
	}
	return list
}

// drawServiceTime draws the time that a request takes at the usual pace.
func drawServiceTime(random *rand.Rand, w Workload) float64 {
	return w.ServiceTime.Seconds() * math.Exp(w.ServiceTimeSigma*random.NormFloat64()-w.ServiceTimeSigma*w.ServiceTimeSigma/2)
}
