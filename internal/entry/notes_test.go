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

// followingNote returns the text of a note that follows the one with the given number.
func followingNote(follows int) string {
	return fmt.Sprintf("[Note]\nFollows = %d\nOperator = test\nReason = next\n[Service extra-%d]\n", follows, follows)
}

// TestStaleStoreDoesNotRollBackNote restarts a host while the store serves stale reads: no host may go back to an older
// note, and the restarted one must get the newest from its peers.
func TestStaleStoreDoesNotRollBackNote(t *testing.T) {
	withFleetServing(t, 3, 2, echo, func(f *fleet, _ []*fakeBackend) {
		old := f.store.Revision()
		f.publish(followingNote(1))
		f.publish(followingNote(2))
		f.awaitNote(3, noteBound)
		f.store.SetFaults(standin.Faults{StaleRevision: old, SuppressWatchEvents: true})
		f.crash("entry-3")
		f.start("entry-3", "")
		f.awaitNote(3, membershipBound)
		time.Sleep(10 * time.Second)
		for _, n := range f.nodes {
			f.is.Equal(n.host.NoteNumber(), 3)
		}
	})
}

// TestTimeUntilNoteInForce checks how long it takes until a published note is in force on all hosts, also when the
// watches of the store deliver nothing and when a third of the links between hosts are down.
func TestTimeUntilNoteInForce(t *testing.T) {
	cases := []struct {
		name  string
		hosts int
		bound time.Duration
		fail  func(f *fleet)
	}{
		{"no faults", 13, noteBound, func(*fleet) {}},
		{"no faults, planned size", 40, plannedSizeNoteBound, func(*fleet) {}},
		{"watches silent", 13, noteBound, func(f *fleet) { f.store.SetFaults(standin.Faults{SuppressWatchEvents: true}) }},
		{"a third of the links down", 13, noteBound, func(f *fleet) {
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
			withFleetServing(t, c.hosts, 2, echo, func(f *fleet, _ []*fakeBackend) {
				c.fail(f)
				time.Sleep(3 * time.Second)
				var times []time.Duration
				for i := range 9 {
					f.publish(followingNote(1 + i))
					times = append(times, f.awaitNote(2+i, 10*time.Second))
					time.Sleep(1300 * time.Millisecond)
				}
				slices.Sort(times)
				t.Logf("note in force on %d hosts: median %v, maximum %v", c.hosts, times[len(times)/2], times[len(times)-1])
				f.is.True(times[len(times)-1] <= c.bound)
			})
		})
	}
}

// TestStoreCallsBound checks that the rate of calls to the store grows with the number of failure domains and not with
// that of hosts.
func TestStoreCallsBound(t *testing.T) {
	sizes := []int{13, 50, 200}
	if os.Getenv("BRIARCROFT_FULL") == "" {
		sizes = sizes[:2]
	}
	rates := map[int]float64{}
	for _, hosts := range sizes {
		withFleetServing(t, hosts, 2, echo, func(f *fleet, _ []*fakeBackend) {
			time.Sleep(5 * time.Second)
			before := totalCalls(f.store)
			began := time.Now()
			time.Sleep(30 * time.Second)
			rates[hosts] = float64(totalCalls(f.store)-before) / time.Since(began).Seconds()
			t.Logf("%d hosts: %.1f store calls per second", hosts, rates[hosts])
		})
	}
	for _, rate := range rates {
		// In each of up to five failure domains, two watchers read once per second.
		if rate > 5*watchersPerDomain*1.2 {
			t.Errorf("%.1f store calls per second, want at most one per watcher and second plus 20%%", rate)
		}
	}
}

// totalCalls returns the number of key-value calls; calls for the host list are left out, as that is another service.
func totalCalls(s *standin.Server) int64 {
	var sum int64
	for call, n := range s.Calls() {
		if call != standin.CallHosts {
			sum += n
		}
	}
	return sum
}

// TestTwoOperators publishes two notes with the same predecessor at the same time: exactly one may be accepted, also when
// the store loses confirmations or applies writes late.
func TestTwoOperators(t *testing.T) {
	cases := []struct {
		name   string
		faults standin.Faults
	}{
		{"no faults", standin.Faults{}},
		{"lost confirmations", standin.Faults{DropWriteResponses: 2}},
		{"late writes", standin.Faults{DelayedWrites: 2, WriteDelay: 300 * time.Millisecond}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			withFleetServing(t, 3, 2, echo, func(f *fleet, _ []*fakeBackend) {
				for round := 1; round <= 5; round++ {
					f.store.SetFaults(c.faults)
					results := make(chan error, 2)
					for operator := range 2 {
						n, err := note.Parse("rival", []byte(followingNote(round)))
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
					f.is.Equal(accepted, 1) // exactly one of two concurrent notes
					f.awaitNote(round+1, 5*time.Second)
				}
			})
		})
	}
}
