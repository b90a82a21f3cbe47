// Package drain decides which requests a host still passes on while it stops gracefully. A run that the end of the process may cut off
// is not started once callers have had time to go to other hosts.
package drain

import (
	"sync/atomic"
	"time"
)

const (
	// answerTime is how long before the end of a stop no further requests are read, so that there is time to send the last responses
	// and for callers to read them.
	answerTime = 600 * time.Millisecond
	// cutTime is how long before the end the runs that are left are canceled, so that their callers get a response.
	cutTime = 150 * time.Millisecond
)

// Config configures a Schedule.
type Config struct {
	// Now is when the stop begins, on the clock of the host.
	Now time.Duration
	// DrainTime is how long callers may go on using the host's address, and Limit how long the stop may take in all.
	DrainTime, Limit time.Duration
}

// Schedule holds the times of a graceful stop, in order, on the clock of the host.
type Schedule struct {
	Began time.Duration
	// Drained is when callers have stopped using the host's address: no connections are accepted any more. Requests that arrive
	// later come on connections that are still open.
	Drained time.Duration
	// LastRun is when the last run has been started that may take longer than the stop. Requests that wait for one are refused then.
	LastRun time.Duration
	// Answered is when no further requests are read, and those without a run have been answered.
	Answered time.Duration
	// Cut is when the runs that have not ended are canceled, and Ended when the process ends.
	Cut, Ended time.Duration
}

// NewSchedule returns the schedule of a stop. It puts LastRun halfway between Drained and Answered, which gives requests that wait, and
// runs that are started, about the same time.
func NewSchedule(c Config) Schedule {
	s := Schedule{Began: c.Now, Drained: c.Now + c.DrainTime, Ended: c.Now + c.Limit}
	s.Answered = max(s.Drained, s.Ended-answerTime)
	s.Cut = max(s.Answered, s.Ended-cutTime)
	s.LastRun = s.Drained + (s.Answered-s.Drained)/2
	return s
}

// Gate tells whether runs may be started. All may until Begin is called. It is safe for concurrent use.
type Gate struct {
	schedule atomic.Pointer[Schedule]
	lastRun  chan struct{}
}

// New returns a gate.
func New() *Gate { return &Gate{lastRun: make(chan struct{})} }

// Begin begins the stop. It must be called at most once.
func (g *Gate) Begin(s Schedule) { g.schedule.Store(&s) }

// Stopping reports whether the stop has begun.
func (g *Gate) Stopping() bool { return g.schedule.Load() != nil }

// EndRuns closes the channel of LastRun. It must be called once, at Schedule.LastRun.
func (g *Gate) EndRuns() { close(g.lastRun) }

// LastRun returns a channel that is closed at Schedule.LastRun. Requests that wait for a run then ask MayStartRun again.
func (g *Gate) LastRun() <-chan struct{} { return g.lastRun }

// EndsInTime reports whether a run with a deadline ends before the stop however long it takes.
func (g *Gate) EndsInTime(deadline time.Duration) bool {
	s := g.schedule.Load()
	return s == nil || deadline <= s.Answered
}

// MayStartRun reports whether a run may be started now for a request that arrived, and has its deadline, at the given times. A run that
// the end of the stop may cut off must belong to a request that arrived before callers had stopped using the host, and be started early
// enough.
func (g *Gate) MayStartRun(now, arrived, deadline time.Duration) bool {
	if g.EndsInTime(deadline) {
		return true
	}
	s := g.schedule.Load()
	return arrived <= s.Drained && now < s.LastRun
}
