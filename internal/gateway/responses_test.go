package gateway_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"briarcroft/platform/standin"
)

// TestErrorResponsesAreForwarded lets targets answer with an error status: callers get status, header and body unchanged.
func TestErrorResponsesAreForwarded(t *testing.T) {
	for _, status := range []int{400, 404, 409, 500, 502} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			withFleet(t, 2, 2, func(f *fleet) {
				for _, x := range f.targets {
					x.Update(func(t *standin.Target) { t.Status = status })
				}
				for i, request := range []struct{ method, path string }{{http.MethodPost, "/order/1"}, {http.MethodGet, "/lookup/1"}} {
					id := fmt.Sprintf("f%d", i)
					r := f.call(f.notHome(), request.method, request.path, id)
					f.is.NoErr(r.err)
					f.is.Equal(r.status, status)
					f.is.Equal(r.body, "answer to "+id)
					f.is.Equal(r.header.Get("X-Response-Seal"), "seal."+id)
					f.is.Equal(r.header.Get("X-Reason"), "out of stock")
				}
				f.is.Equal(f.runsOf("f0"), 1)
			})
		})
	}
}

// TestUnsealedRefusalIsNotForwarded lets targets run an unsafe request and answer 503 without a seal or a statement that it
// was not run. Passed on to the caller, that status would imply that the request may safely be sent again.
func TestUnsealedRefusalIsNotForwarded(t *testing.T) {
	withFleet(t, 2, 2, func(f *fleet) {
		for _, x := range f.targets {
			x.Update(func(t *standin.Target) { t.Status, t.OmitSeal = 503, true })
		}
		r := f.call("h0", http.MethodPost, "/order/1", "odd")
		f.is.NoErr(r.err)
		f.is.Equal(f.runsOf("odd"), 1)
		f.is.Equal(r.status, 502)
	})
}

// TestRemainingTimeIsSent lets one target break connections after 200 ms: the deadline header of each request to a target
// holds the time that remains, which is less for the retry on a second target.
func TestRemainingTimeIsSent(t *testing.T) {
	withFleet(t, 2, 3, func(f *fleet) {
		const responseDelay = 200 * time.Millisecond
		f.targets["t0"].Update(func(t *standin.Target) { t.DropResponses, t.RunDuration = true, responseDelay })
		secondTargets := 0
		for i := range 30 {
			id := fmt.Sprintf("l%d", i)
			for _, x := range f.targets {
				x.Update(func(t *standin.Target) { t.TimeLimits = nil })
			}
			f.is.Equal(f.call("h0", http.MethodGet, "/lookup/1", id).status, 200)
			second := f.arrivalsOf(id) == 2
			for _, x := range f.targets {
				x.Update(func(t *standin.Target) {
					for _, limit := range t.TimeLimits {
						f.is.True(limit > 0 && limit <= time.Second)
						if second && t.Name != "t0" {
							secondTargets++
							f.is.True(limit <= time.Second-responseDelay)
						}
					}
				})
			}
			time.Sleep(50 * time.Millisecond)
		}
		f.is.True(secondTargets > 0) // at least one request went to a second target
	})
}

// TestAddressOfAnotherServer gives the address of one target to a server of another name: that server runs no request
// that was meant for the target, and all requests succeed.
func TestAddressOfAnotherServer(t *testing.T) {
	withFleet(t, 2, 3, func(f *fleet) {
		f.targets["t0"].Update(func(t *standin.Target) { t.Name = "other" })
		for i := range 40 {
			id, method, path := fmt.Sprintf("a%d", i), http.MethodGet, "/lookup/1"
			if i%2 == 0 {
				method, path = http.MethodPost, "/order/1"
			}
			r := f.call(fmt.Sprintf("h%d", i%2), method, path, id)
			f.is.Equal(r.status, 200)
			f.is.Equal(f.runsOf(id), 1)
			time.Sleep(20 * time.Millisecond)
		}
		f.targets["t0"].Update(func(t *standin.Target) { f.is.Equal(len(t.Runs), 0) })
	})
}

// TestNewTargetGetsWork adds a target while there are more concurrent requests than the other targets have slots: the
// new target gets at least half of its equal share.
func TestNewTargetGetsWork(t *testing.T) {
	withFleet(t, 3, 2, func(f *fleet) {
		const callers, each = 7, 20
		send := func(prefix string) {
			var group sync.WaitGroup
			for c := range callers {
				group.Go(func() {
					for i := range each {
						f.call(fmt.Sprintf("h%d", c%3), http.MethodGet, "/lookup/1", fmt.Sprintf("%s-%d-%d", prefix, c, i))
					}
				})
			}
			group.Wait()
		}
		send("before")
		added := f.addTarget("late")
		time.Sleep(2 * time.Second)
		send("after")
		added.Update(func(t *standin.Target) {
			f.is.True(len(t.Runs) >= callers*each/3/2) // at least half of a third
		})
	})
}
