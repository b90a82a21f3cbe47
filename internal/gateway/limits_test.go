package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
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

// mostInWindow returns the largest number of requests that a target received in any limitWindow after a time, from hosts that
// had passed on a response with the limit limitReaction before. The function hostOf returns the host that sent an attempt.
func mostInWindow(x *standin.Target, named time.Time, hostOf func(attemptID string) string) int {
	var counted []time.Time
	toldAt := map[string]time.Time{}
	x.Update(func(t *standin.Target) {
		for _, a := range t.ArrivalLog {
			told, known := toldAt[hostOf(a.AttemptID)]
			switch {
			case a.At.Before(named):
			case !known:
				toldAt[hostOf(a.AttemptID)] = a.At.Add(t.RunDuration)
			case a.At.Sub(told) >= limitReaction:
				counted = append(counted, a.At)
			}
		}
	})
	most, first := 0, 0
	for i, at := range counted {
		for at.Sub(counted[first]) >= limitWindow {
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

// hostOfSteady returns the host to which sendSteadily has sent an attempt.
func (f *fleet) hostOfSteady(attemptID string) string {
	_, number, _ := strings.Cut(attemptID, "-")
	i, err := strconv.Atoi(number)
	f.is.NoErr(err)
	return fmt.Sprintf("h%d", i%len(f.hosts))
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
		{"all targets, homes end", 4, 3, func(f *fleet) { f.killHomes(4, 4*time.Second) }, 0},
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
					most := mostInWindow(x, named, f.hostOfSteady)
					t.Logf("t%d got %d requests in 4 s, %.0f allowed; %.3f of all requests served", i, most, allowed, served)
					f.is.True(float64(most) <= allowed)
				}
				f.is.True(served >= c.leastServed)
			})
		})
	}
}

// TestFallingRateLimitIsKept checks that targets that name a lower limit than before get fewer requests from then on.
func TestFallingRateLimitIsKept(t *testing.T) {
	const targets, before, after = 4, 10, 1
	withFleet(t, 13, targets, func(f *fleet) {
		f.setRateLimit(targets, before)
		f.sendSteadily("before", 60, 6*time.Second)
		f.setRateLimit(targets, after)
		fell := time.Now()
		f.sendSteadily("after", 60, 12*time.Second)
		for i := range targets {
			most := mostInWindow(f.targets[fmt.Sprintf("t%d", i)], fell, f.hostOfSteady)
			t.Logf("t%d got %d requests in 4 s", i, most)
			f.is.True(float64(most) <= limitFactor*after*limitWindow.Seconds()+limitSlack)
		}
	})
}

// TestEndOfRateLimitIsNoticed checks that targets that no longer name a limit are used as before, from every host.
func TestEndOfRateLimitIsNoticed(t *testing.T) {
	const targets = 4
	withFleet(t, 13, targets, func(f *fleet) {
		f.setRateLimit(targets, 1)
		f.sendSteadily("limited", 40, 6*time.Second)
		f.setRateLimit(targets, 0)
		f.sendSteadily("ending", 40, 5*time.Second)
		replies := f.sendSteadily("free", 40, 5*time.Second)
		f.is.True(float64(count(replies, http.StatusOK)) >= 0.99*float64(len(replies)))
	})
}
