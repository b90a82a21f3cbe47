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
	born           time.Duration
	goal, deadline time.Duration
	work           float64
	ended          bool
}

// server is one backend server: so many slots and a short queue, on a machine that it shares with noisy neighbours.
type server struct {
	sim     *simulation
	name    string
	index   int
	pace    float64
	running []*run
	waiting []*run
	fault   FaultKind
}

// run is one request at one server.
type run struct {
	job     *job
	server  *server
	started time.Duration
	ended   bool
	// done is told how the run ended, at the server and at its time.
	done func(answered bool)
}

// accept takes a run, or reports that it is full.
func (s *server) accept(r *run) bool {
	r.server = s
	switch {
	case len(s.running) < s.sim.load.Slots:
		s.begin(r)
	case len(s.waiting) < 2*s.sim.load.Slots:
		s.waiting = append(s.waiting, r)
	default:
		return false
	}
	return true
}

// begin starts a run. What it takes is settled at its start, by the machine's pace and by how full the server is.
func (s *server) begin(r *run) {
	load := s.sim.load
	s.running = append(s.running, r)
	r.started = s.sim.now
	factor := s.pace
	if float64(len(s.running)) > load.NearlyFullShare*float64(load.Slots) {
		factor *= load.NearlyFullSlowdown
	}
	if s.fault == Slow {
		factor *= slowFactor
	}
	s.sim.after(time.Duration(r.job.work*factor*float64(time.Second)), func() { s.end(r) })
}

// end finishes a run; a mute server loses every other answer.
func (s *server) end(r *run) {
	if r.ended {
		return
	}
	r.ended = true
	lost := s.fault == Mute && s.sim.random.Float64() < muteShare
	if !lost {
		r.done(true)
	}
	s.free(r)
}

// cancel drops a run whose connection was closed.
func (s *server) cancel(r *run) {
	if r.ended {
		return
	}
	r.ended = true
	s.free(r)
}

func (s *server) free(r *run) {
	same := func(other *run) bool { return other == r }
	s.waiting = slices.DeleteFunc(s.waiting, same)
	s.running = slices.DeleteFunc(s.running, same)
	for len(s.waiting) > 0 && len(s.running) < s.sim.load.Slots {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.begin(next)
	}
}

// report is what the server says of its load.
func (s *server) report() placement.Load {
	return placement.Load{Running: len(s.running), Waiting: len(s.waiting), Slots: s.sim.load.Slots, Pace: s.pace}
}

// drift draws a new pace again and again.
func (s *server) drift() {
	load := s.sim.load
	s.pace = 1
	if s.sim.random.Float64() < load.NoisyShare {
		s.pace = load.NoisyPace
	}
	s.sim.after(time.Duration(s.sim.random.ExpFloat64()*float64(load.NoiseInterval)), s.drift)
}

func newServers(sim *simulation) []*server {
	var list []*server
	for i := range sim.load.Targets {
		s := &server{sim: sim, name: fmt.Sprintf("t%02d", i), index: i}
		s.drift()
		list = append(list, s)
	}
	return list
}

// workOf draws the time that a request takes at the usual pace.
func workOf(random *rand.Rand, l Workload) float64 {
	return l.ServiceTime.Seconds() * math.Exp(l.ServiceTimeSigma*random.NormFloat64()-l.ServiceTimeSigma*l.ServiceTimeSigma/2)
}
