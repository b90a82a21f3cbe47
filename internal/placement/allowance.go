package placement

import "time"

// Numbers of health probes that a request should bring to a home of its service. What the primary home knows serves most
// requests; what a fallback home learns is soon outdated.
const (
	ProbesPerRequest         = 8
	ProbesPerFallbackRequest = 4
)

// allowanceBurst is how much of its share a ProbeAllowance saves up.
const allowanceBurst = 500 * time.Millisecond

// ProbeAllowance is the share of one entry host in the health probes that all hosts together may send to the targets of a
// service. The host gives probes to its requests, and the homes of the service send only probes that requests brought.
// Therefore the limit holds whichever and however many hosts act as homes, and when hosts cannot reach each other.
type ProbeAllowance struct {
	// PerTarget is the number of probes that a target may get per second from all hosts together.
	PerTarget float64
	credit    float64
	updatedAt time.Duration
	started   bool
}

// Take returns how many probes a request may bring, at most wanted. The hosts are all those of the fleet, dead or alive:
// hosts that seem dead may take their shares somewhere else.
func (a *ProbeAllowance) Take(now time.Duration, targets, hosts, wanted int) int {
	rate := a.PerTarget * float64(targets) / float64(max(1, hosts))
	burst := rate * allowanceBurst.Seconds()
	if !a.started {
		a.started, a.updatedAt, a.credit = true, now, burst
	}
	// The share in a small service may be less than one probe in allowanceBurst.
	a.credit = min(max(1, burst), a.credit+rate*(now-a.updatedAt).Seconds())
	a.updatedAt = now
	taken := min(wanted, int(a.credit))
	a.credit -= float64(taken)
	return taken
}
