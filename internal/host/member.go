// Package host implements the gossip membership of entry hosts, the load balancer's own processes. It tracks which
// hosts are alive and ready by their heartbeats, and selects by rendezvous hashing the homes of each service, that is,
// the hosts that place its requests on backend servers, and the hosts that watch the platform's store. It opens no
// connections and reads no clock: callers send the messages and pass in the time since the start of this host.
package host

import "time"

// Member describes one incarnation of an entry host, that is, its process from one start to the next.
type Member struct {
	// Name identifies the host across restarts.
	Name string
	// Listen is the address for callers.
	Listen string
	// Inner is the address for other entry hosts.
	Inner string
	// Domain is the failure domain of the host.
	Domain string
	// Region is the region that the failure domain belongs to.
	Region string
	// Incarnation increases with each start of the host.
	Incarnation uint64
	// Beat is the host's heartbeat counter, which increases by one with each round of heartbeats.
	Beat uint64
	// Leaving is set once the host has begun a graceful stop.
	Leaving bool
	// Ready is set while callers may be sent to the host.
	Ready bool
	// Note is the number of the note (revision of the configuration) in force on the host.
	Note int
	// Wants holds the services that need more than one home according to the host, with the numbers of homes; see
	// HomeScaler.
	Wants []HomeDemand
	// StoreLost is set while the host cannot reach the platform's store.
	StoreLost bool
	// TargetsLost is set while the host reaches no backend server.
	TargetsLost bool
	// MilliCores is the processor power that the host may use, in thousandths of a core, and LinkMbps the bandwidth of its
	// network link in Mbit/s; zero means not known.
	MilliCores uint32
	LinkMbps   uint32
	// Age is the time since the host's heartbeat of which the sender of a message knows, if KnowsAge is set; hosts of older
	// versions do not tell it. Both are only set in messages.
	Age      time.Duration
	KnowsAge bool
}

// Timing of heartbeats and failure detection.
const (
	// HeartbeatInterval is the time between two rounds of heartbeats.
	HeartbeatInterval = 500 * time.Millisecond
	// discoveryInterval replaces HeartbeatInterval while this host discovers members after its start. Hosts that all start
	// at the same time thus agree on the members, and therefore on the homes of services, in a few rounds.
	discoveryInterval = 50 * time.Millisecond
	// discoveryPeriod is how long after its start a host may use discoveryInterval. Hosts that have run for longer learn
	// of new ones in their usual rounds, so that restarts of others cost them little.
	discoveryPeriod = 2 * time.Second
	// discoveryRounds is the number of consecutive rounds without a new member after which HeartbeatInterval applies again.
	discoveryRounds = 6
	// deadAfter is the time since its last heartbeat after which a member counts as dead.
	deadAfter = 2500 * time.Millisecond
	// removeAfter is the time since its last heartbeat after which a dead member is removed from the table.
	removeAfter = time.Minute
	// countedAfterRemoval is how long a removed member still counts in the size of the fleet.
	countedAfterRemoval = time.Hour
	// pauseThreshold is the time since this host's last round of heartbeats above which its process counts as paused
	// (suspended, or starved of CPU).
	pauseThreshold = 1500 * time.Millisecond
)

// Event is a change in the state of another host.
type Event struct {
	Kind   EventKind
	Member Member
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of Event.
const (
	// Joined reports a new member, or a new incarnation of a known one.
	Joined EventKind = iota
	// Left reports that a member has begun a graceful stop.
	Left
	// Died reports that no new heartbeat of a member became known for too long.
	Died
	// Returned reports a heartbeat of the same incarnation after Died.
	Returned
)
