// Package host keeps the membership of entry hosts: heartbeats, incarnations, and which hosts are home to a service.
// It knows no sockets and no wall clock: callers pass the time in.
package host

import "time"

// Member is one incarnation of an entry host.
type Member struct {
	Name   string
	Listen string
	Inner  string
	Domain string
	Region string
	// Incarnation is higher for each start of the host.
	Incarnation uint64
	// Beat is the number of the member's newest heartbeat.
	Beat uint64
	// Leaving is set once the host has begun a graceful stop.
	Leaving bool
	// Ready is set while the host may be in address answers.
	Ready bool
	// Note is the number of the note in force on the host.
	Note int
	// Wants lists the services whose load asks for more homes.
	Wants []HomeDemand
	// StoreLost is set while the host can't reach the platform's store.
	StoreLost bool
}

// Times of membership.
const (
	// HeartbeatInterval is the time between two heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// discoveryInterval is the same after a start, and while a host hears of members that it did not know: a fleet that starts at
	// once finds itself in a few rounds, and its homes with it.
	discoveryInterval = 50 * time.Millisecond
	// discoveryRounds is how many rounds in a row must bring nobody new before a host takes its time again.
	discoveryRounds = 6
	// deadAfter is how long a member lives without a new heartbeat.
	deadAfter = 2500 * time.Millisecond
	// removeAfter is how long a dead member is remembered.
	removeAfter = time.Minute
	// pauseThreshold is the longest time between own heartbeats that is no pause.
	pauseThreshold = 1500 * time.Millisecond
)

// Event is one change that a host saw in the membership.
type Event struct {
	Kind   EventKind
	Member Member
}

// EventKind says what changed.
type EventKind int

// The kinds of event.
const (
	Joined EventKind = iota
	Left
	Died
	Returned
)
