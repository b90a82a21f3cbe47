package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"briarcroft/internal/settings"
	"briarcroft/platform/standin"
)

// probesPerSecond is the number of health probes that a target may get per second, from all hosts together.
const probesPerSecond = 42

// probeCount returns the number of health probes that all targets have received.
func (f *fleet) probeCount() int {
	sum := 0
	for _, t := range f.targets {
		t.Update(func(t *standin.Target) { sum += t.Probes })
	}
	return sum
}

// load sends requests at a steady rate, to each host in turn, and waits until all have ended.
func (f *fleet) load(requestsPerSecond int, duration time.Duration) {
	names := make([]string, 0, len(f.hosts))
	for i := range len(f.hosts) {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	var group sync.WaitGroup
	for i := range int(duration.Seconds() * float64(requestsPerSecond)) {
		group.Go(func() { f.call(names[i%len(names)], http.MethodGet, "/lookup/1", fmt.Sprintf("load-%d", i)) })
		time.Sleep(time.Second / time.Duration(requestsPerSecond))
	}
	group.Wait()
}

// cutInto cuts the fleet into groups of hosts that reach only each other, and the store.
func (f *fleet) cutInto(groups int) {
	for i := range len(f.hosts) {
		for j := range i {
			if i%groups != j%groups {
				f.net.Partition(fmt.Sprintf("h%d", i), fmt.Sprintf("h%d", j))
			}
		}
	}
}

// TestManyHomesShareProbeLimit guards against a probe limit that each host keeps for itself: hosts that are cut off from
// each other all place requests, and together they must not probe more often than one home may.
func TestManyHomesShareProbeLimit(t *testing.T) {
	const hosts, targets, duration = 24, 6, 10 * time.Second
	for _, c := range []struct {
		name string
		// groups is the number of parts into which the fleet is cut.
		groups            int
		requestsPerSecond int
	}{
		{"whole fleet", 1, 30},
		{"two halves", 2, 50},
		{"every host alone", hosts, 50},
		{"every host alone, overload", hosts, 180},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, hosts, targets, func(f *fleet) {
				f.cutInto(c.groups)
				f.load(c.requestsPerSecond, duration)
				perTarget := float64(f.probeCount()) / targets / duration.Seconds()
				t.Logf("%.1f probes per target and second", perTarget)
				f.is.True(perTarget <= probesPerSecond)
			})
		})
	}
}

// TestManyHomesShareRetryBudget guards against a retry budget that each host keeps for itself: hosts that are cut off from
// each other all grant retries, and together they must not grant more than one home may.
func TestManyHomesShareRetryBudget(t *testing.T) {
	const hosts, requestsPerSecond, seconds, slack = 24, 50, 9, 48
	for _, groups := range []int{1, 2, 6, hosts} {
		t.Run(fmt.Sprintf("%d groups", groups), func(t *testing.T) {
			withFleet(t, hosts, 6, func(f *fleet) {
				for _, n := range f.hosts {
					s := settings.Default()
					s.Retries.Slack = slack
					n.gateway.Reload(s)
				}
				for _, x := range f.targets {
					x.Update(func(t *standin.Target) { t.RefuseRuns = true })
				}
				f.cutInto(groups)
				time.Sleep(10 * time.Second) // until hosts know who is left, and no retry counts any more
				f.load(requestsPerSecond, seconds*time.Second)
				retries := 0
				for i := range requestsPerSecond * seconds {
					retries += max(0, f.arrivalsOf(fmt.Sprintf("load-%d", i))-1)
				}
				t.Logf("%d retries for %d requests", retries, requestsPerSecond*seconds)
				f.is.True(float64(retries) <= 0.2*requestsPerSecond*seconds+slack)
				f.is.True(retries > 0)
			})
		})
	}
}
