package gateway_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"briarcroft/internal/note"
	"briarcroft/internal/placement"
)

// loadAccount has requests of an account placed at a steady rate, on each running host in turn, and returns when requests were
// placed and the refusals.
func (f *fleet) loadAccount(account string, perSecond int, d time.Duration) (placed []time.Time, refused []placement.Refused) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for i := range int(d.Seconds() * float64(perSecond)) {
		n := f.hosts[fmt.Sprintf("h%d", i%len(f.hosts))]
		if n.stopped.Load() {
			n = f.hosts["h0"]
		}
		calls.Go(func() {
			v := n.gateway.Place("stock", account, 20*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			switch v := v.(type) {
			case placement.Placed:
				placed = append(placed, time.Now().Add(-20*time.Millisecond))
			case placement.Refused:
				refused = append(refused, v)
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	calls.Wait()
	return placed, refused
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
	const hosts = 7
	for _, c := range []struct {
		name                     string
		perSecond                int
		endHolder                bool
		leastPlaced, mostRefused int
	}{
		{"within the allowance", 6, false, 60, 0},
		{"four times the allowance", 40, false, 95, 400},
		{"within the allowance, the holder ends", 6, true, 54, 6},
		{"four times the allowance, the holder ends", 40, true, 80, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			withFleet(t, hosts, 4, func(f *fleet) {
				for _, n := range f.hosts {
					n.gateway.SetAccounts(note.Account{Name: "a", Rate: 10, Burst: 10})
				}
				time.Sleep(5 * time.Second)
				var disturbance sync.WaitGroup
				if c.endHolder {
					disturbance.Go(func() {
						time.Sleep(4 * time.Second)
						f.crash(f.holder())
					})
				}
				placed, refused := f.loadAccount("a", c.perSecond, 10*time.Second)
				disturbance.Wait()
				most := 0
				for i, from := range placed {
					inWindow := 0
					for _, at := range placed[i:] {
						if at.Sub(from) < 5*time.Second && !at.Before(from) {
							inWindow++
						}
					}
					most = max(most, inWindow)
				}
				t.Logf("%d placed, most in a window %d, %d refused; the holder is %s", len(placed), most, len(refused), f.holder())
				f.is.True(most <= (10*5+10)*11/10+20)
				f.is.True(len(placed) >= c.leastPlaced)
				f.is.True(len(refused) <= c.mostRefused)
				for _, r := range refused {
					f.is.Equal(r.Reason, placement.ReasonAllowanceSpent)
					f.is.True(r.RetryAfter > 0)
				}
				f.is.True(f.holder() != "")
			})
		})
	}
}

// TestNoAllowancesCostNothing guards against messages and refusals in a fleet without accounts that have an allowance.
func TestNoAllowancesCostNothing(t *testing.T) {
	withFleet(t, 3, 4, func(f *fleet) {
		for _, n := range f.hosts {
			n.gateway.SetAccounts(note.Account{Name: "a"})
		}
		placed, refused := f.loadAccount("a", 20, 3*time.Second)
		f.is.Equal(len(placed), 60)
		f.is.Equal(len(refused), 0)
		f.is.Equal(f.holder(), "")
	})
}
