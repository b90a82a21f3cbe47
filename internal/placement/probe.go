package placement

import "time"

// Times of probing.
const (
	// probeEvery is how old knowledge of a target may get while its service is busy.
	probeEvery = 50 * time.Millisecond
	// idleProbeEvery is the same while the service has no requests.
	idleProbeEvery = time.Second
	// busyFor is how long after a request a service counts as busy.
	busyFor = 2 * time.Second
	// silentAfter is how long a probe may take before its target counts as down.
	silentAfter = 150 * time.Millisecond
	// downProbeEvery is how often a target that is down is asked.
	downProbeEvery = 100 * time.Millisecond
)

// probe is the state of the health probes of one target.
type probe struct {
	// asked is when the last probe was sent; pending is set while it has no answer.
	asked   time.Duration
	pending bool
	// down is set while probes get no answer or the target says it is ill.
	down bool
}

// Health is what a probe found.
type Health int

// The results of a probe.
const (
	// Healthy means that the target answered and calls itself healthy.
	Healthy Health = iota
	// Ill means that the target answered and calls itself ill.
	Ill
	// Gone means that the target gave no answer.
	Gone
	// Replaced means that another server answered at the target's address.
	Replaced
)

// Probes returns the targets to probe now; each must be followed by Probed.
func (h *Home) Probes(now time.Duration) []Placed {
	var due []Placed
	every := probeEvery
	if now-h.busyAt > busyFor {
		every = idleProbeEvery
	}
	for _, t := range h.targets {
		p := &t.probe
		wait := every
		if p.down {
			wait = max(downProbeEvery, every)
		}
		fresh := !p.down && now-t.pacedAt < wait
		if p.pending || t.Leaving || fresh || now-p.asked < wait {
			continue
		}
		p.asked, p.pending = now, true
		due = append(due, Placed{t.Name, t.Address})
	}
	return due
}

// Probed takes in the result of a probe that Probes asked for.
func (h *Home) Probed(now time.Duration, name string, health Health, load *Load) {
	t := h.byName[name]
	if t == nil {
		return
	}
	t.probe.pending = false
	switch health {
	case Healthy:
		t.probe.down = false
		t.misplaced = false
	case Ill, Gone:
		t.probe.down = true
	case Replaced:
		t.misplaced = true
	}
	if load != nil && health != Replaced {
		h.reported(now, t, *load)
	}
	h.Dispatch(now)
}

// checkSilence marks targets whose probes have been without an answer for too long.
func (h *Home) checkSilence(now time.Duration) {
	for _, t := range h.targets {
		if t.probe.pending && now-t.probe.asked > silentAfter {
			t.probe.down = true
		}
	}
}
