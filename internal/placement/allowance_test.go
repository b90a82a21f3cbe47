package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// probingHost is an entry host that gives probes to its requests.
type probingHost struct {
	allowance ProbeAllowance
	// home is the home that the host's requests reach. Hosts that cannot reach each other have different ones.
	home *testHome
}

// TestHomesKeepProbeLimit drives any number of hosts and homes with random load, while hosts change their homes at any
// time as if cut off from each other: together the homes never send more probes than the limit allows.
func TestHomesKeepProbeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perTarget, seconds = 37.8, 2
		targets := rapid.IntRange(1, 12).Draw(t, "targets")
		hosts := make([]*probingHost, rapid.IntRange(1, 30).Draw(t, "hosts"))
		var homes []*testHome
		for range rapid.IntRange(1, len(hosts)).Draw(t, "homes") {
			homes = append(homes, newTestHome(targets, ampleBudget))
		}
		for i := range hosts {
			hosts[i] = &probingHost{ProbeAllowance{PerTarget: perTarget}, rapid.SampledFrom(homes).Draw(t, "home")}
		}
		requestsPerTick := rapid.IntRange(0, 10).Draw(t, "requests per tick")
		probes := 0
		for tick := range seconds * 100 {
			for i := range requestsPerTick {
				host := hosts[(tick*requestsPerTick+i)%len(hosts)]
				if rapid.IntRange(0, 99).Draw(t, "cut") == 0 {
					host.home = rapid.SampledFrom(homes).Draw(t, "home")
				}
				brought := host.allowance.Take(host.home.now, targets, len(hosts), ProbesPerRequest)
				host.home.submit(func(r *Request) { r.Probes = brought })
			}
			for _, f := range homes {
				f.now += tickInterval
				f.home.Tick(f.now)
				for _, p := range f.home.DueProbes(f.now) {
					probes++
					f.home.RecordProbe(f.now, p.Target, ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
				}
			}
		}
		if limit := perTarget * float64(targets) * (seconds + allowanceBurst.Seconds()); float64(probes) > limit {
			t.Fatalf("%d probes, the limit is %.0f", probes, limit)
		}
	})
}

// TestSmallServiceIsProbed gives many hosts a share of less than a probe per second each.
func TestSmallServiceIsProbed(t *testing.T) {
	is := is.New(t)
	const hosts, seconds, perTarget = 100, 60, 30.0
	taken := 0
	for range hosts {
		a := ProbeAllowance{PerTarget: perTarget}
		for tick := range seconds * 10 {
			taken += a.Take(time.Duration(tick)*100*time.Millisecond, 1, hosts, ProbesPerRequest)
		}
	}
	t.Logf("%d probes of one target in %d s", taken, seconds)
	is.True(taken <= perTarget*(seconds+1))
	is.True(taken > perTarget*seconds/2)
}

// TestScarceProbesReachAllTargets gives a home fewer probes than it would send: every target gets some.
func TestScarceProbesReachAllTargets(t *testing.T) {
	is := is.New(t)
	f := newTestHome(40, ampleBudget)
	probed := map[string]int{}
	for tick := range 1000 {
		f.now += tickInterval
		if tick%10 == 0 {
			f.endRun(f.submit(nil), OutcomeAnswered)
		}
		for _, p := range f.home.DueProbes(f.now) {
			probed[p.Target]++
			f.home.RecordProbe(f.now, p.Target, ProbeHealthy, &LoadReport{Slots: 3, Pace: 1})
		}
	}
	is.Equal(len(probed), 40)
	for name, count := range probed {
		t.Logf("%s: %d", name, count)
		is.True(count >= 3) // an equal share is 10
	}
}
