package gateway_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// Limits for targets that name a rate limit, from the requirements of the platform.
const (
	// limitWindow is the time in which the requests of a target are counted. It may get limitFactor times what its rate limit
	// allows in that time, and limitSlack more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitReaction is the time after a host has passed on a response with the limit from which its requests count.
	limitReaction = 500 * time.Millisecond
)

// mostInWindow returns the largest number of requests that a target received in any limitWindow after a time.
func mostInWindow(x *standin.Target, after time.Time) int {
	var times []time.Time
	x.Update(func(t *standin.Target) {
		for _, at := range t.ArrivalTimes {
			if at.After(after) {
				times = append(times, at)
			}
		}
	})
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// setRateLimit makes the first targets name a rate limit, or none if it is zero.
func (f *fleet) setRateLimit(targets int, perSecond float64) {
	for i := range targets {
		f.targets[fmt.Sprintf("t%d", i)].Update(func(t *standin.Target) { t.RateLimit = perSecond })
	}
}

// sendSteadily sends requests at a steady rate, to each running host in turn, and returns the replies.
func (f *fleet) sendSteadily(name string, requestsPerSecond int, duration time.Duration) []reply {
	var group sync.WaitGroup
	replies := make([]reply, int(duration.Seconds()*float64(requestsPerSecond)))
	for i := range replies {
		group.Go(func() {
			id := fmt.Sprintf("%s-%d", name, i)
			replies[i] = f.call(fmt.Sprintf("h%d", i%len(f.hosts)), http.MethodGet, "/lookup/"+id, id)
		})
		time.Sleep(time.Second / time.Duration(requestsPerSecond))
	}
	group.Wait()
	return replies
}

// count returns the number of replies with a status.
func count(replies []reply, status int) int {
	sum := 0
	for _, r := range replies {
		if r.status == status {
			sum++
		}
	}
	return sum
}

// TestRateLimitOfTargetsIsKept guards against sending targets more requests than the limit that they name, from whichever
// and however many hosts.
func TestRateLimitOfTargetsIsKept(t *testing.T) {
	const hosts, targets, requestsPerSecond, duration = 13, 4, 40, 20 * time.Second
	for _, c := range []struct {
		name      string
		limited   int
		perSecond float64
		// disrupt does what is done to the hosts; it may be nil.
		disrupt func(*fleet)
		// leastServed is the share of requests that the other targets, or the limits, leave room for.
		leastServed float64
	}{
		{"one target", 1, 3.3, nil, 0.99},
		{"one target, half a request a second", 1, 0.5, nil, 0.99},
		{"one target that takes none", 1, 0, nil, 0.99},
		{"three targets", 3, 1, nil, 0.99},
		{"all targets", 4, 1, nil, 0.07},
		{"all targets, every host alone", 4, 1, func(f *fleet) { f.cutInto(hosts) }, 0},
		{"all targets, three groups", 4, 2, func(f *fleet) { f.cutInto(3) }, 0},
		{"three targets, homes end", 3, 1, func(f *fleet) { f.killHomes(4, 4*time.Second) }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, hosts, targets, func(f *fleet) {
				f.setRateLimit(c.limited, c.perSecond)
				if c.perSecond == 0 {
					f.targets["t0"].Update(func(t *standin.Target) { t.TakesNone = true })
				}
				named := time.Now()
				var disruption sync.WaitGroup
				if c.disrupt != nil {
					disruption.Go(func() { c.disrupt(f) })
				}
				replies := f.sendSteadily("limited", requestsPerSecond, duration)
				disruption.Wait()
				served := float64(count(replies, http.StatusOK)) / float64(len(replies))
				allowed := limitFactor*c.perSecond*limitWindow.Seconds() + limitSlack
				for i := range c.limited {
					x := f.targets[fmt.Sprintf("t%d", i)]
					most := mostInWindow(x, named.Add(limitReaction))
					t.Logf("t%d got %d requests in 4 s, %.0f allowed; %.3f of all requests served", i, most, allowed, served)
					f.is.True(float64(most) <= allowed)
				}
				f.is.True(served >= c.leastServed)
			})
		})
	}
}
