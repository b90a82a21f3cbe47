package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// usualShare is the part of its rate that an account sends on a calm day.
const usualShare = 0.6

// calmFleet returns a fleet of nine hosts with 76 accounts, of which five are large, and their usual loads.
func calmFleet(seed uint64) (*testFleet, map[string]float64) {
	limits, rates := map[string]Limit{}, map[string]float64{}
	for i := range 76 {
		rate := 1 + float64(i%9)
		if i < 5 {
			rate = 60 + 20*float64(i)
		}
		account := fmt.Sprintf("a%d", i)
		limits[account], rates[account] = Limit{rate, rate}, usualShare*rate
	}
	return newTestFleet(seed, 9, limits), rates
}

// refusedShare returns the share and number of requests since a time that were refused, among all accounts but the hot ones.
func (f *testFleet) refusedShare(hot map[string]bool, from time.Duration) (share float64, refused int) {
	sent := 0
	for account := range f.limits {
		if hot[account] {
			continue
		}
		for _, at := range f.arrived[account] {
			if at >= from {
				sent++
			}
		}
		for _, at := range f.refused[account] {
			if at >= from {
				sent++
				refused++
			}
		}
	}
	return float64(refused) / float64(sent), refused
}

// TestLoads guards against refusals of accounts that stay within their allowance, and against more than the bound, under the
// loads that Holder and Wallet answer.
func TestLoads(t *testing.T) {
	for _, c := range []struct {
		name string
		// factor multiplies the usual load of the hot accounts.
		factor  float64
		hot     []string
		disturb func(*testFleet)
		most    float64
	}{
		{"calm day", 1, nil, func(*testFleet) {}, 0.001},
		{"one account at 9 times its usual load", 9, []string{"a20"}, func(*testFleet) {}, 0.001},
		{"one large account at 9 times its usual load", 9, []string{"a4"}, func(*testFleet) {}, 0.001},
		{"three accounts at once", 6, []string{"a2", "a30", "a40"}, func(*testFleet) {}, 0.001},
		{"five large accounts at 4 times their usual load", 4, []string{"a0", "a1", "a2", "a3", "a4"}, func(*testFleet) {}, 0.001},
		{"homes move", 1, nil, func(f *testFleet) { f.homes = f.hosts[5:8] }, 0.01},
		{"the holder ends", 1, nil, func(f *testFleet) { f.disturb(1, []int{0}, 30*time.Second) }, 0.01},
		{"the holder stands still", 1, nil, func(f *testFleet) { f.disturb(0, []int{0}, 3*time.Second) }, 0.01},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f, rates := calmFleet(1)
			f.homes = f.hosts[1:5]
			f.run(25*time.Second, rates)
			hot := map[string]bool{}
			for _, account := range c.hot {
				hot[account] = true
				rates[account] *= c.factor
			}
			from := f.now
			c.disturb(f)
			f.run(20*time.Second, rates)
			share, refused := f.refusedShare(hot, from)
			t.Logf("%d refused, share %.5f", refused, share)
			is.True(share < c.most)
			is.NoErr(f.check())
			for account := range hot {
				// The holder hands out nearly the whole allowance.
				served := 0
				for _, at := range f.arrived[account] {
					if at >= from {
						served++
					}
				}
				limit := f.limits[account]
				t.Logf("%s: %d served, allowance %.0f", account, served, limit.Rate*20+limit.Burst)
				is.True(float64(served) >= 0.95*limit.Rate*20)
			}
		})
	}
}

// TestHalvedAllowance guards against a limit that is lowered in a burst and binds later than one window after that.
func TestHalvedAllowance(t *testing.T) {
	is := is.New(t)
	f, rates := calmFleet(2)
	rates["a4"] *= 9
	f.run(10*time.Second, rates)
	halved := map[string]Limit{}
	for account, limit := range f.limits {
		halved[account] = Limit{limit.Rate / 2, limit.Burst / 2}
	}
	f.limits = halved
	for _, h := range f.hosts {
		h.holder.SetLimits(halved)
		h.wallet.SetLimits(halved)
	}
	lowered := f.now
	f.run(15*time.Second, rates)
	var after []time.Duration
	for _, at := range f.arrived["a4"] {
		if at >= lowered+bound.Window {
			after = append(after, at)
		}
	}
	is.True(float64(mostInWindow(after)) <= bound.Requests(halved["a4"]))
	is.True(len(after) > 500)
}
