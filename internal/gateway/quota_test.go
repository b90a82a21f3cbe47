package gateway_test

import (
	"fmt"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"briarcroft/internal/placement"
	"briarcroft/platform/standin"
)

// loadAccount sends requests with a key at a steady rate, to each running host in turn, and returns the replies.
func (f *fleet) loadAccount(key string, perSecond int, d time.Duration) []reply {
	var calls sync.WaitGroup
	replies := make([]reply, int(d.Seconds()*float64(perSecond)))
	for i := range replies {
		host := fmt.Sprintf("h%d", i%len(f.hosts))
		if f.hosts[host].stopped.Load() {
			host = fmt.Sprintf("h%d", (i+1)%len(f.hosts))
		}
		calls.Go(func() {
			id := fmt.Sprintf("%s-%d", key, i)
			replies[i] = f.callWithKeys(host, "/lookup/"+id, id, key)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	calls.Wait()
	return replies
}

// mostArrivals returns the largest number of requests that arrived at targets in any 5 s.
func (f *fleet) mostArrivals() int {
	var times []time.Time
	for _, t := range f.targets {
		t.Update(func(t *standin.Target) {
			for _, a := range t.ArrivalLog {
				times = append(times, a.At)
			}
		})
	}
	slices.SortFunc(times, time.Time.Compare)
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= 5*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// holder returns the name of the only holder of the accounts' token buckets, or "" if there is none.
func (f *fleet) holder() string {
	name := ""
	for _, n := range f.hosts {
		if stats, _ := n.gateway.Allowances(); stats.Holding && !n.stopped.Load() {
			f.is.Equal(name, "")
			name = n.name
		}
	}
	return name
}

// TestAllowanceOverAllHosts guards against an account that gets more than its allowance over all hosts, or much less, and against
// refusals of one that stays within it, also when the holder ends.
func TestAllowanceOverAllHosts(t *testing.T) {
	const hosts, rate, burst = 7, 10, 10
	for _, c := range []struct {
		name                     string
		perSecond                int
		endHolder                bool
		leastServed, mostRefused int
	}{
		{"within the allowance", 6, false, 60, 0},
		{"four times the allowance", 40, false, 100, 300},
		{"within the allowance, the holder ends", 6, true, 55, 5},
		{"four times the allowance, the holder ends", 40, true, 80, 320},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, hosts, 4, func(f *fleet) {
				f.tenants = []tenant{{"name": "a", "api-keys": []string{"k"}, "rate-per-s": rate, "burst": burst}}
				f.configureAccounts(2)
				time.Sleep(5 * time.Second)
				var disturbance sync.WaitGroup
				if c.endHolder {
					disturbance.Go(func() {
						time.Sleep(4 * time.Second)
						f.crash(f.holder())
					})
				}
				replies := f.loadAccount("k", c.perSecond, 10*time.Second)
				disturbance.Wait()
				served, refused, most := count(replies, 200), count(replies, 429), f.mostArrivals()
				t.Logf("%d served, most in a window %d, %d refused; the holder is %s", served, most, refused, f.holder())
				f.is.True(most <= (rate*5+burst)*11/10+20)
				f.is.True(served >= c.leastServed)
				f.is.True(refused <= c.mostRefused)
				f.is.Equal(count(replies, 503), 0)
				for _, r := range replies {
					if r.status == 429 {
						f.is.Equal(r.header.Get("Briarcroft-Reason"), "AllowanceSpent")
						retryAfter, err := strconv.ParseFloat(r.header.Get("Retry-After"), 64)
						f.is.NoErr(err)
						f.is.True(retryAfter > 0 && retryAfter < 5)
					}
				}
				f.is.True(f.holder() != "")
			})
		})
	}
}

// TestNoAllowancesCostNothing guards against an election and refusals in a fleet whose accounts have no allowance.
func TestNoAllowancesCostNothing(t *testing.T) {
	withFleet(t, 3, 4, func(f *fleet) {
		f.tenants = []tenant{{"name": "a", "api-keys": []string{"k"}}}
		f.configureAccounts(2)
		time.Sleep(configurationBound)
		f.is.Equal(count(f.loadAccount("k", 20, 3*time.Second), 200), 60)
		f.is.Equal(f.holder(), "")
	})
}

// TestSuspendedHostSendsNothingLate guards against requests that a host sends after it was suspended for longer than their time:
// their tokens belong to a window that is over.
func TestSuspendedHostSendsNothingLate(t *testing.T) {
	withFleet(t, 3, 2, func(f *fleet) {
		f.tenants = []tenant{{"name": "a", "api-keys": []string{"k"}, "rate-per-s": 1000, "burst": 1000}}
		f.configureAccounts(2)
		time.Sleep(5 * time.Second)
		for _, x := range f.targets {
			x.Update(func(t *standin.Target) { t.RunDuration = 300 * time.Millisecond })
		}
		var calls sync.WaitGroup
		for i := range 12 {
			id := fmt.Sprint("early-", i)
			calls.Go(func() { f.callWithKeys("h1", "/lookup/"+id, id, "k") })
		}
		time.Sleep(20 * time.Millisecond)
		for _, host := range []string{"h0", "h2"} {
			calls.Go(func() {
				r := f.callWithKeys(host, "/lookup/"+host, host, "k")
				if host == "h0" {
					f.is.Equal(r.status, 503)
					f.is.Equal(r.header.Get("Briarcroft-Reason"), string(placement.ReasonDeadlineCannotBeMet))
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		f.is.Equal(f.arrivalsOf("h0")+f.arrivalsOf("h2"), 0)
		f.suspend("h0", time.Minute)
		calls.Wait()
		f.is.Equal(f.arrivalsOf("h0"), 0)
		f.is.Equal(f.arrivalsOf("h2"), 1)
	})
}
