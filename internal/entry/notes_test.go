package entry

import (
	"context"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"briarcroft/internal/note"
	"briarcroft/internal/platform/standin"
)

// next returns the text of a note that follows the given one.
func next(follows int) string {
	return fmt.Sprintf("[Note]\nFollows = %d\nOperator = test\nReason = next\n[Service extra-%d]\n", follows, follows)
}

// TestStaleStoreNeverLowersTheNote restarts a host while the store answers with old reads.
func TestStaleStoreNeverLowersTheNote(t *testing.T) {
	inService(t, 3, 2, work, func(f *fleet, _ []*fakeBackend) {
		old := f.store.Revision()
		f.publish(next(1))
		f.publish(next(2))
		f.await(3, inForceBound)
		f.store.SetFaults(standin.Faults{StaleRevision: old, SilentWatches: true})
		f.crash("entry-3")
		f.start("entry-3", "")
		f.await(3, liveBound)
		time.Sleep(10 * time.Second)
		for _, n := range f.nodes {
			f.is.Equal(n.host.Number(), 3)
		}
	})
}

// TestNoteInForce measures how long a note takes to be in force on 13 hosts, with silent watches and lost messages too.
func TestNoteInForce(t *testing.T) {
	cases := []struct {
		name  string
		hosts int
		bound time.Duration
		fail  func(f *fleet)
	}{
		{"all well", 13, inForceBound, func(*fleet) {}},
		{"all well at the planned size", 40, plannedBound, func(*fleet) {}},
		{"watches silent", 13, inForceBound, func(f *fleet) { f.store.SetFaults(standin.Faults{SilentWatches: true}) }},
		{"a third of the links lost", 13, inForceBound, func(f *fleet) {
			for i, a := range f.order {
				for j, b := range f.order {
					if (i*7+j*3)%3 == 0 && i < j {
						f.net.Partition(a, b)
					}
				}
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inService(t, c.hosts, 2, work, func(f *fleet, _ []*fakeBackend) {
				c.fail(f)
				time.Sleep(3 * time.Second)
				var times []time.Duration
				for i := range 9 {
					f.publish(next(1 + i))
					times = append(times, f.await(2+i, 10*time.Second))
					time.Sleep(1300 * time.Millisecond)
				}
				slices.Sort(times)
				t.Logf("in force on %d hosts: median %v, worst %v", c.hosts, times[len(times)/2], times[len(times)-1])
				f.is.True(times[len(times)-1] <= c.bound)
			})
		})
	}
}

// TestStoreCallsBound measures the store's calls against the number of hosts: they must grow with failure domains only.
func TestStoreCallsBound(t *testing.T) {
	sizes := []int{13, 50, 200}
	if os.Getenv("BRIARCROFT_FULL") == "" {
		sizes = sizes[:2]
	}
	rates := map[int]float64{}
	for _, hosts := range sizes {
		inService(t, hosts, 2, work, func(f *fleet, _ []*fakeBackend) {
			time.Sleep(5 * time.Second)
			before := totalCalls(f.store)
			began := time.Now()
			time.Sleep(30 * time.Second)
			rates[hosts] = float64(totalCalls(f.store)-before) / time.Since(began).Seconds()
			t.Logf("%d hosts: %.1f store calls a second", hosts, rates[hosts])
		})
	}
	for _, rate := range rates {
		// Two watchers in each failure domain read once a second.
		if rate > 5*watchersPerDomain*1.2 {
			t.Errorf("%.1f store calls a second are more than the watchers need", rate)
		}
	}
}

// totalCalls counts the key-value calls; the host list is another service.
func totalCalls(s *standin.Standin) int64 {
	var sum int64
	for call, n := range s.Calls() {
		if call != standin.CallHosts {
			sum += n
		}
	}
	return sum
}

// TestTwoOperators publishes rival notes at the same moment, with lost confirmations and late writes.
func TestTwoOperators(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
	}{
		{"all well", standin.Faults{}},
		{"lost confirmations", standin.Faults{LoseConfirmations: 2}},
		{"late writes", standin.Faults{LateWrites: 2, LateBy: 300 * time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inService(t, 3, 2, work, func(f *fleet, _ []*fakeBackend) {
				for round := 1; round <= 5; round++ {
					f.store.SetFaults(c.faults)
					results := make(chan error, 2)
					for operator := range 2 {
						n, err := note.Parse("rival", []byte(next(round)))
						f.is.NoErr(err)
						n.Operator = fmt.Sprint(operator)
						go func() {
							_, err := f.archive.Publish(context.Background(), n, fmt.Sprintf("%d-%d", round, operator), time.Now())
							results <- err
						}()
					}
					accepted := 0
					for range 2 {
						if err := <-results; err == nil {
							accepted++
						}
					}
					f.is.Equal(accepted, 1) // exactly one of two rivals
					f.await(round+1, 5*time.Second)
				}
			})
		})
	}
}
