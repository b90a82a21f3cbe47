package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// Limits for targets that say in their responses that they leave or want no requests for a time, from the requirements of the
// platform.
const (
	// leavingReaction is the time after a host has passed on that a target leaves from which it sends it nothing.
	leavingReaction = 2 * time.Second
	// pauseReaction is the time after a host got a refusal with a time from which it sends the target at most maxInPause
	// requests until that time has passed.
	pauseReaction = 500 * time.Millisecond
	maxInPause    = 2
)

// sendToHosts sends requests at a steady rate to the running hosts in turn, with attempt IDs that begin with the host's name,
// and returns the replies by ID.
func (f *fleet) sendToHosts(requestsPerSecond int, duration time.Duration) map[string]reply {
	return f.sendMix(requestsPerSecond, duration, 3)
}

// sendMix is like sendToHosts with one unsafe request among the given number.
func (f *fleet) sendMix(requestsPerSecond int, duration time.Duration, unsafeEvery int) map[string]reply {
	var hosts []string
	for i := range len(f.hosts) {
		hosts = append(hosts, fmt.Sprintf("h%d", i))
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	replies := map[string]reply{}
	f.lastPhase++
	for i := range int(duration.Seconds() * float64(requestsPerSecond)) {
		group.Go(func() {
			name := hosts[i%len(hosts)]
			id := fmt.Sprintf("%s-%d-%d", name, f.lastPhase, i)
			method, path := http.MethodGet, "/lookup/"+id
			if i%unsafeEvery == 0 {
				method, path = http.MethodPost, "/order/"+id
			}
			r := f.call(name, method, path, id)
			mu.Lock()
			defer mu.Unlock()
			replies[id] = r
		})
		time.Sleep(time.Second / time.Duration(requestsPerSecond))
	}
	group.Wait()
	return replies
}

// answered returns the number of replies with status 200.
func answered(replies map[string]reply) int {
	sum := 0
	for _, r := range replies {
		if r.status == http.StatusOK {
			sum++
		}
	}
	return sum
}

// arrivalsBetween returns the arrivals at a target from each host, from a time after the host's first one until another time
// after that.
func arrivalsBetween(x *standin.Target, since time.Time, from, until time.Duration) map[string]int {
	counts := map[string]int{}
	x.Update(func(t *standin.Target) { counts = countAfterFirst(t.ArrivalLog, t.ArrivalLog, since, from, until) })
	return counts
}

// arrivalsAfterRefusal is like arrivalsBetween, but the times count from the first refusal that the target sent to the host.
func arrivalsAfterRefusal(x *standin.Target, since time.Time, from, until time.Duration) map[string]int {
	counts := map[string]int{}
	x.Update(func(t *standin.Target) { counts = countAfterFirst(t.RefusalLog, t.ArrivalLog, since, from, until) })
	return counts
}

// countAfterFirst counts arrivals by host, from a time after the host's first entry in starts until another time after that.
func countAfterFirst(starts, arrivals []standin.Arrival, since time.Time, from, until time.Duration) map[string]int {
	counts, first := map[string]int{}, map[string]time.Time{}
	for _, s := range starts {
		if name, _, _ := strings.Cut(s.AttemptID, "-"); first[name].IsZero() && !s.At.Before(since) {
			first[name] = s.At
		}
	}
	for _, a := range arrivals {
		name, _, _ := strings.Cut(a.AttemptID, "-")
		if age := a.At.Sub(first[name]); !first[name].IsZero() && age >= from && age < until {
			counts[name]++
		}
	}
	return counts
}

// noticeCases are the fleets that must keep what targets say: with one home, with every host apart, with homes that end.
var noticeCases = []struct {
	name    string
	hosts   int
	disrupt func(*fleet)
}{
	{"13 hosts", 13, nil},
	{"13 hosts, each apart", 13, func(f *fleet) { f.cutInto(13) }},
	{"13 hosts, homes end", 13, func(f *fleet) { go f.killHomes(3, 1500*time.Millisecond) }},
	{"106 hosts", 106, nil},
}

// TestTargetThatSaysItLeavesGetsNoRequests guards against sending requests to a target that says in its responses that it leaves,
// although the store says that it is ready.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for _, c := range noticeCases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.hosts, 6, func(f *fleet) {
				if c.disrupt != nil {
					c.disrupt(f)
				}
				f.sendToHosts(200, time.Second)
				said := time.Now()
				leaving := f.targets["t0"]
				leaving.Update(func(t *standin.Target) { t.Leaving = true })
				replies := f.sendToHosts(200, 6*time.Second)
				late := arrivalsBetween(leaving, said, leavingReaction, time.Hour)
				t.Logf("arrivals later than %v by host: %v; %d of %d answered", leavingReaction, late, answered(replies), len(replies))
				f.is.Equal(len(late), 0)
				if c.disrupt == nil {
					f.is.Equal(answered(replies), len(replies)) // five targets are left
				}
			})
		})
	}
}

// TestTargetThatWantsNoRequestsGetsNone guards against sending requests to a target for as long as it has said that it wants
// none, and against a crowd when that time has passed.
func TestTargetThatWantsNoRequestsGetsNone(t *testing.T) {
	const pause = 4 * time.Second
	for _, c := range noticeCases {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, c.hosts, 6, func(f *fleet) {
				if c.disrupt != nil {
					c.disrupt(f)
				}
				f.sendToHosts(200, time.Second)
				said := time.Now()
				paused := f.targets["t0"]
				paused.Update(func(t *standin.Target) { t.RefuseRuns, t.RetryAfter = true, fmt.Sprint(pause.Seconds()) })
				replies := f.sendToHosts(200, pause-500*time.Millisecond)
				during := arrivalsBetween(paused, said, pauseReaction, pause)
				t.Logf("arrivals by host after %v: %v; %d of %d answered", pauseReaction, during, answered(replies), len(replies))
				for _, count := range during {
					f.is.True(count <= maxInPause)
				}
				if c.disrupt == nil {
					f.is.Equal(answered(replies), len(replies))
				}
				paused.Update(func(t *standin.Target) { t.RefuseRuns, t.RetryAfter, t.ArrivalLog = false, "", nil })
				f.sendToHosts(200, pause)
				back := 0
				paused.Update(func(t *standin.Target) { back = len(t.ArrivalLog) })
				f.is.True(back > 0) // it is used again
			})
		})
	}
}

// TestSlowRefusalNamesPause guards against losing what a refusal says that arrives while the target's entry is gone for a moment,
// or after the run was given up.
func TestSlowRefusalNamesPause(t *testing.T) {
	const pause = 4 * time.Second
	for _, c := range []struct {
		name        string
		delay       time.Duration
		entryOut    time.Duration
		unsafeEvery int
	}{
		{"entry is gone for a moment", 300 * time.Millisecond, 500 * time.Millisecond, 3},
		{"entry is gone for a moment, unsafe requests", 300 * time.Millisecond, 500 * time.Millisecond, 1},
		{"run was given up", 600 * time.Millisecond, 0, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 3, 4, func(f *fleet) {
				f.sendToHosts(100, time.Second)
				said := time.Now()
				paused := f.targets["t0"]
				paused.Update(func(t *standin.Target) {
					t.RefuseRuns, t.RefusalDelay, t.RetryAfter = true, c.delay, fmt.Sprint(pause.Seconds())
				})
				if c.entryOut > 0 {
					time.AfterFunc(200*time.Millisecond, func() { f.store.Delete("servers/t0") })
					time.AfterFunc(200*time.Millisecond+c.entryOut, func() { f.register(paused, "ready") })
				}
				f.sendMix(100, pause, c.unsafeEvery)
				refused := 0
				paused.Update(func(t *standin.Target) { refused = len(t.RefusalLog) })
				during := arrivalsAfterRefusal(paused, said, pauseReaction, pause)
				t.Logf("refusals sent: %d; arrivals by host %v after the first: %v", refused, pauseReaction, during)
				for _, count := range during {
					f.is.True(count <= maxInPause)
				}
			})
		})
	}
}

// TestRefusalWhileEntryIsGone guards against losing the pause that a refusal names if it arrives while the target's entry is gone.
func TestRefusalWhileEntryIsGone(t *testing.T) {
	withFleet(t, 1, 1, func(f *fleet) {
		refusing := f.targets["t0"]
		refusing.Update(func(t *standin.Target) { t.RefuseRuns, t.RefusalDelay, t.RetryAfter = true, 300*time.Millisecond, "4" })
		said := time.Now()
		time.AfterFunc(100*time.Millisecond, func() { f.store.Delete("servers/t0") })
		f.call("h0", http.MethodPost, "/order/first", "h0-first")
		f.register(refusing, "ready")
		time.Sleep(time.Second)
		f.sendMix(20, time.Second, 1)
		during := arrivalsAfterRefusal(refusing, said, pauseReaction, 4*time.Second)
		t.Logf("arrivals by host %v after the refusal: %v", pauseReaction, during)
		f.is.True(during["h0"] <= maxInPause)
	})
}

// TestAllTargetsWantNoRequests checks that requests are refused at once while all targets have said that they want none, with the
// time at which one takes requests again, and that they are served then.
func TestAllTargetsWantNoRequests(t *testing.T) {
	const pause = 3 * time.Second
	withFleet(t, 5, 4, func(f *fleet) {
		for _, x := range f.targets {
			x.Update(func(t *standin.Target) { t.RefuseRuns, t.RetryAfter = true, fmt.Sprint(pause.Seconds()) })
		}
		f.sendToHosts(100, 500*time.Millisecond)
		for _, x := range f.targets {
			x.Update(func(t *standin.Target) { t.RefuseRuns, t.RetryAfter = false, "" })
		}
		r := f.call("h1", http.MethodPost, "/order/refused", "h1-refused")
		f.is.Equal(r.status, http.StatusServiceUnavailable)
		f.is.True(r.duration < 100*time.Millisecond)
		wait, err := time.ParseDuration(r.header.Get("Retry-After") + "s")
		f.is.NoErr(err)
		f.is.True(wait > time.Second && wait < pause+time.Second)
		time.Sleep(wait)
		f.is.Equal(f.call("h1", http.MethodPost, "/order/returned", "h1-returned").status, http.StatusOK)
	})
}
