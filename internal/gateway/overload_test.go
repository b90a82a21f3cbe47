package gateway_test

import (
	"testing"
	"time"

	"briarcroft/internal/settings"
	"briarcroft/platform/standin"
)

// TestLoadIsNoLostLink guards against answering load with load: while all links are sound, no run goes through a peer because targets
// are full, slow or stand still.
func TestLoadIsNoLostLink(t *testing.T) {
	const targets, normalRun = 8, 90 * time.Millisecond
	// capacity is what the targets serve in a second, at three slots each.
	const capacity = targets * 3 * int(time.Second/normalRun)
	for _, c := range []struct {
		name              string
		hosts             int
		requestsPerSecond int
		disturb           func(f *fleet)
	}{
		{"120 in 100 of the capacity", 13, capacity * 120 / 100, nil},
		{"200 in 100", 13, capacity * 2, nil},
		{"500 in 100", 13, capacity * 5, nil},
		{"106 hosts, 200 in 100", 106, capacity * 2, nil},
		{"all targets slow by eight", 13, capacity / 10, func(f *fleet) { f.slowTargets(8 * normalRun) }},
		{"all targets stand still for a second", 13, capacity / 2, func(f *fleet) {
			for _, x := range f.targets {
				x.Silence(time.Second)
			}
		}},
		{"one target stands still for a second", 13, capacity / 2, func(f *fleet) { f.targets["t0"].Silence(time.Second) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.hosts, targets, func(f *fleet) {
				f.slowTargets(normalRun)
				f.sendToHosts(capacity/2, time.Second)
				if c.disturb != nil {
					c.disturb(f)
				}
				replies := f.sendToHosts(c.requestsPerSecond, 2*time.Second)
				var relayed int64
				for _, n := range f.hosts {
					relayed += n.gateway.RelayedRequests()
				}
				opened := 0
				for _, x := range f.targets {
					x.Update(func(t *standin.Target) { opened += t.Connections })
				}
				t.Logf("%d of %d answered, %d relayed, %d connections opened", answered(replies), len(replies), relayed, opened)
				f.is.Equal(relayed, int64(0))
			})
		})
	}
}

// TestOverloadByAge guards against refusals that come after a wait, or without a time to return, on hosts that order by age, and
// against any refusal at half of the capacity.
func TestOverloadByAge(t *testing.T) {
	const targets, normalRun = 8, 90 * time.Millisecond
	const capacity = targets * 3 * int(time.Second/normalRun)
	for _, load := range []int{50, 300} {
		withSettings(t, func(s *settings.Settings) { s.Overload.AgeOrder = true }, 13, targets, func(f *fleet) {
			f.slowTargets(normalRun)
			f.sendToHosts(capacity/2, time.Second)
			replies := f.sendToHosts(capacity*load/100, 3*time.Second)
			refused, waited := 0, 0
			for _, r := range replies {
				if r.status != 503 {
					continue
				}
				refused++
				f.is.True(r.header.Get("Retry-After") != "")
				if r.duration > 100*time.Millisecond {
					waited++
				}
			}
			t.Logf("load %d in 100: %d of %d answered, %d refused, %d of these after a wait", load, answered(replies), len(replies), refused, waited)
			if load == 50 {
				f.is.Equal(answered(replies), len(replies))
				return
			}
			f.is.True(answered(replies) >= 9*capacity*3/10)
			f.is.True(waited*20 <= refused)
		})
	}
}
