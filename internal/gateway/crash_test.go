package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briarcroft/internal/host"
	"briarcroft/platform/standin"
)

// Limits for a request that crashes the targets that run it, from the requirements of the platform.
const (
	// crashesBeforeLimit is the number of crashed targets after which the limit applies, and crashReaction the time after the
	// last of these crashes from which it does.
	crashesBeforeLimit = 3
	crashReaction      = 3 * time.Second
	// maxLateCrashes is the number of runs that may begin after that.
	maxLateCrashes = 3
)

// crashingPath is the path of the request that crashes targets.
const crashingPath = "/lookup/crash"

// crashTest sends a request that crashes targets again and again, to each host in turn, beside requests that do not.
type crashTest struct {
	*fleet
	// sends is the number of times that the request is sent, one sendInterval after the other.
	sends        int
	sendInterval time.Duration
	// query returns the query of the i-th time; nil means none.
	query func(i int) string
	// callers is the number of callers that take turns; zero means one.
	callers int
	// soundInterval is the time between other requests if they are not sent together with those that crash targets.
	soundInterval time.Duration
	// soundFailed counts the other requests that were not answered with status 200.
	mu          sync.Mutex
	soundFailed int
}

// crashTargets makes crashingPath crash all targets, which are then silent for the given time; zero means that they only
// break the connection.
func (f *fleet) crashTargets(silent time.Duration) {
	for _, x := range f.targets {
		x.Update(func(t *standin.Target) { t.CrashPath, t.SilentTime = crashingPath, silent })
	}
}

// run sends the requests and returns when runs that crashed targets began, in order.
func (c *crashTest) run() []time.Time {
	var group sync.WaitGroup
	if c.soundInterval > 0 {
		group.Go(func() { c.sendSounds(&group) })
	}
	for i := range c.sends {
		name, path := fmt.Sprintf("h%d", i%len(c.hosts)), crashingPath
		if c.query != nil {
			path += "?" + c.query(i)
		}
		caller := fmt.Sprintf("caller-%d", i%max(1, c.callers))
		group.Go(func() { c.callFrom(caller, name, http.MethodGet, path, fmt.Sprintf("crash-%d", i)) })
		if c.soundInterval == 0 {
			group.Go(func() { c.sendSound(fmt.Sprintf("h%d", (i+1)%len(c.hosts)), i) })
		}
		time.Sleep(c.sendInterval)
	}
	group.Wait()
	var crashes []time.Time
	for _, x := range c.targets {
		x.Update(func(t *standin.Target) { crashes = append(crashes, t.Crashes...) })
	}
	slices.SortFunc(crashes, time.Time.Compare)
	return crashes
}

// sendSounds sends other requests, one soundInterval after the other, for as long as those that crash targets are sent.
func (c *crashTest) sendSounds(group *sync.WaitGroup) {
	for i := range int(time.Duration(c.sends) * c.sendInterval / c.soundInterval) {
		group.Go(func() { c.sendSound(fmt.Sprintf("h%d", i%len(c.hosts)), i) })
		time.Sleep(c.soundInterval)
	}
}

func (c *crashTest) sendSound(name string, i int) {
	if r := c.call(name, http.MethodGet, fmt.Sprintf("/lookup/%d", i), fmt.Sprintf("sound-%d", i)); r.status != http.StatusOK {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.soundFailed++
	}
}

// lateCrashes returns how many runs began later than crashReaction after the third crash. A run crashes its target when it
// ends.
func lateCrashes(crashes []time.Time) int {
	if len(crashes) < crashesBeforeLimit {
		return 0
	}
	limitFrom := crashes[crashesBeforeLimit-1].Add(standin.NewTarget("").RunDuration + crashReaction)
	late := 0
	for _, at := range crashes {
		if at.After(limitFrom) {
			late++
		}
	}
	return late
}

// TestCrashingRequestWithOtherQueryIsStopped guards against taking a request that crashes targets for a new one when its
// query differs.
func TestCrashingRequestWithOtherQueryIsStopped(t *testing.T) {
	withFleet(t, 13, 14, func(f *fleet) {
		f.crashTargets(0)
		c := &crashTest{fleet: f, sends: 60, sendInterval: 500 * time.Millisecond, query: func(i int) string { return fmt.Sprintf("page=%d", i) }}
		crashes := c.run()
		t.Logf("%d runs in all, %d late; %d other requests failed", len(crashes), lateCrashes(crashes), c.soundFailed)
		f.is.True(len(crashes) >= crashesBeforeLimit)
		f.is.True(lateCrashes(crashes) <= maxLateCrashes)
		f.is.Equal(c.soundFailed, 0)
	})
}

// TestCrashingRequestIsStoppedAfterHomeEnds guards against forgetting a request that crashes targets with the home that
// has seen it.
func TestCrashingRequestIsStoppedAfterHomeEnds(t *testing.T) {
	withFleet(t, 13, 14, func(f *fleet) {
		f.crashTargets(0)
		c := &crashTest{fleet: f, sends: 60, sendInterval: 500 * time.Millisecond}
		var killer sync.WaitGroup
		killer.Go(func() { f.killHomes(6, 4*time.Second) })
		crashes := c.run()
		killer.Wait()
		t.Logf("%d runs in all, %d late; %d other requests failed", len(crashes), lateCrashes(crashes), c.soundFailed)
		f.is.True(len(crashes) >= crashesBeforeLimit)
		f.is.True(lateCrashes(crashes) <= maxLateCrashes)
	})
}

// killHomes ends the primary home of the service a number of times, at the given interval. A host that was ended does not
// come back.
func (f *fleet) killHomes(times int, interval time.Duration) {
	running := make([]host.Member, 0, len(f.hosts))
	for name := range f.hosts {
		running = append(running, host.Member{Name: name})
	}
	for range times {
		time.Sleep(interval)
		home := host.Rank("stock", running)[0].Name
		f.crash(home)
		running = slices.DeleteFunc(running, func(m host.Member) bool { return m.Name == home })
	}
}

// TestCrashingRequestThatSilencesTargetsIsStopped guards against counting only broken connections as crashes: a target
// may also fall silent.
func TestCrashingRequestThatSilencesTargetsIsStopped(t *testing.T) {
	withFleet(t, 13, 14, func(f *fleet) {
		f.crashTargets(2 * time.Second)
		c := &crashTest{fleet: f, sends: 60, sendInterval: 500 * time.Millisecond}
		crashes := c.run()
		t.Logf("%d runs in all, %d late; %d other requests failed", len(crashes), lateCrashes(crashes), c.soundFailed)
		f.is.True(len(crashes) >= crashesBeforeLimit)
		f.is.True(lateCrashes(crashes) <= maxLateCrashes)
	})
}

// TestCrashingRequestOfManyCallersIsStopped guards against taking a request that crashes targets for a new one when another
// caller sends it. Each caller sends it once.
func TestCrashingRequestOfManyCallersIsStopped(t *testing.T) {
	for _, c := range []struct {
		name   string
		silent time.Duration
		query  func(i int) string
	}{
		{"targets break the connection", 0, nil},
		{"targets fall silent", 3 * time.Second, nil},
		{"targets fall silent, queries differ", 3 * time.Second, func(i int) string { return fmt.Sprintf("page=%d", i) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 13, 14, func(f *fleet) {
				f.crashTargets(c.silent)
				test := &crashTest{fleet: f, sends: 80, sendInterval: 500 * time.Millisecond, query: c.query, callers: 80, soundInterval: 25 * time.Millisecond}
				crashes := test.run()
				t.Logf("%d runs in all, %d late; %d of 1600 other requests failed", len(crashes), lateCrashes(crashes), test.soundFailed)
				f.is.True(len(crashes) >= crashesBeforeLimit)
				f.is.True(lateCrashes(crashes) <= maxLateCrashes)
				// No more than the runs beside the crashing ones, which end with them and may not all be repeated in time.
				f.is.True(test.soundFailed <= len(crashes)*maxSoundBesideCrash)
			})
		})
	}
}

// maxSoundBesideCrash is the number of slots of a target besides the one that the crashing request takes.
const maxSoundBesideCrash = 2

// failingTargetsTest sends a sound request again and again, beside requests that are sent once, while most targets break all
// connections.
type failingTargetsTest struct {
	*fleet
	// caller returns the caller that sends the repeated request for the i-th time.
	caller func(i int) string
	// interval is the time between two sends.
	interval time.Duration
	// sends, repeated and single are the numbers of sends of each kind, and of those that were answered with status 200.
	sends            int
	repeated, single atomic.Int64
}

// dropResponses makes 10 of 14 targets break all connections, or ends that.
func (f *fleet) dropResponses(drop bool) {
	for i := range 10 {
		f.targets[fmt.Sprintf("t%d", i)].Update(func(t *standin.Target) { t.DropResponses = drop })
	}
}

// run sends requests of both kinds for the given time and waits for their responses.
func (t *failingTargetsTest) run(lasts time.Duration) {
	var group sync.WaitGroup
	for end := time.Now().Add(lasts); time.Now().Before(end); t.sends++ {
		i := t.sends
		send := func(caller, path string, answered *atomic.Int64) {
			if t.callFrom(caller, fmt.Sprintf("h%d", i%13), http.MethodGet, path, fmt.Sprintf("%s-%d", path, i)).status == http.StatusOK {
				answered.Add(1)
			}
		}
		group.Go(func() { send(t.caller(i), "/lookup/repeated", &t.repeated) })
		group.Go(func() { send(fmt.Sprintf("caller-%d", i), fmt.Sprintf("/lookup/%d", i), &t.single) })
		time.Sleep(t.interval)
	}
	group.Wait()
}

// TestRepeatedRequestIsServedBesideFailingTargets guards against taking a sound request for the cause when most targets break
// all connections, whether one caller repeats it or many callers send it: it is answered as often as requests that are sent
// once. Which requests find no other target varies, so the counts are those of several fleets.
func TestRepeatedRequestIsServedBesideFailingTargets(t *testing.T) {
	const fleets, downtime = 5, 6 * time.Second
	for _, c := range []struct {
		name     string
		caller   func(i int) string
		interval time.Duration
		// recovered is how long the requests that are counted are sent after the targets have recovered; zero counts those
		// that are sent while the targets fail.
		recovered time.Duration
		// maxFewer is the share of sends by which the repeated request may be answered less often.
		maxFewer float64
	}{
		{"of one caller", func(int) string { return "caller" }, 110 * time.Millisecond, 0, 0.05},
		{"of one caller, after recovery", func(int) string { return "caller" }, 110 * time.Millisecond, 7 * time.Second, 0.01},
		{"of many callers", func(i int) string { return fmt.Sprintf("caller-%d", i) }, 25 * time.Millisecond, 0, 0.01},
	} {
		t.Run(c.name, func(t *testing.T) {
			var sends, repeated, single int
			for range fleets {
				withFleet(t, 13, 14, func(f *fleet) {
					f.dropResponses(true)
					test := &failingTargetsTest{fleet: f, caller: c.caller, interval: c.interval}
					test.run(downtime)
					if c.recovered > 0 {
						f.dropResponses(false)
						test = &failingTargetsTest{fleet: f, caller: c.caller, interval: c.interval}
						test.run(c.recovered)
					}
					sends, repeated, single = sends+test.sends, repeated+int(test.repeated.Load()), single+int(test.single.Load())
				})
			}
			t.Logf("answered: %d of %d repeated requests, %d of %d others", repeated, sends, single, sends)
			if repeated < single-int(c.maxFewer*float64(sends)) {
				t.Error("the repeated request is answered less often than others")
			}
		})
	}
}

// TestSoundRequestIsNotQuarantined fails most targets at the same time, again and again, while a request that is not at
// fault is sent by one caller to all hosts several times at once: it is served again soon after the targets are back, even
// if it was taken for the cause.
func TestSoundRequestIsNotQuarantined(t *testing.T) {
	const failing, waves, downtime, recovery = 10, 5, 2 * time.Second, 15 * time.Second
	for _, c := range []struct {
		name string
		fail func(*standin.Target)
	}{
		{"targets fall silent", func(x *standin.Target) { x.Silence(downtime) }},
		{"targets break connections", func(x *standin.Target) {
			x.Update(func(t *standin.Target) { t.DropResponses = true })
			time.Sleep(downtime)
			x.Update(func(t *standin.Target) { t.DropResponses = false })
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, 5, 14, func(f *fleet) {
				var group sync.WaitGroup
				for wave := range waves {
					for i := range failing {
						group.Go(func() { c.fail(f.targets[fmt.Sprintf("t%d", (wave+i)%14)]) })
					}
					for i := range 200 {
						group.Go(func() {
							f.call(fmt.Sprintf("h%d", i%5), http.MethodGet, "/lookup/polled", fmt.Sprintf("polled-%d-%d", wave, i))
						})
						time.Sleep(20 * time.Millisecond)
					}
					group.Wait()
				}
				time.Sleep(recovery)
				for i := range 5 {
					f.is.Equal(f.call(fmt.Sprintf("h%d", i), http.MethodGet, "/lookup/polled", fmt.Sprintf("last-%d", i)).status, http.StatusOK)
				}
			})
		})
	}
}
