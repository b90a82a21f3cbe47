package entry

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"briarcroft/internal/host"
	"briarcroft/internal/record"
)

// TestRecordsRebuildEligibility rebuilds which targets could be chosen from the records alone.
func TestRecordsRebuildEligibility(t *testing.T) {
	fail := func(b *fakeBackend, w http.ResponseWriter, r *http.Request, body string) {
		if b.name == "target-2" && r.URL.Path == "/bad" {
			panic(http.ErrAbortHandler)
		}
		work(b, w, r, body)
	}
	type instant struct {
		at    time.Time
		names []string
	}
	inService(t, 2, 5, fail, func(f *fleet, _ []*fakeBackend) {
		h := f.nodes["entry-1"].host
		var seen []instant
		look := func() {
			time.Sleep(30 * time.Millisecond)
			seen = append(seen, instant{time.Now(), h.steering.Services()["s"].Eligible()})
			time.Sleep(30 * time.Millisecond)
		}
		look()
		for i := range 60 {
			_, _, _ = f.send(f.nodes["entry-1"], http.MethodPost, "/bad", fmt.Sprint(i), nil)
			if i%10 == 0 {
				look()
			}
		}
		f.publish("[Note]\nFollows = 1\nOperator = test\nReason = withdraw\n[Withdraw]\nTargets = target-4\n")
		f.await(2, inForceBound)
		look()
		time.Sleep(5 * time.Second)
		look()
		records := h.book.Since("", time.Time{})
		kinds := map[string]bool{}
		for _, r := range records {
			kinds[r.Cause] = true
		}
		f.is.True(kinds["FailuresInARow"] && kinds["WithdrawnByNote"])
		forgotten := func(r record.Record) bool { return r.Kind == record.TargetForgotten && r.Target == "target-4" }
		f.is.True(slices.ContainsFunc(records, forgotten))
		f.is.True(slices.ContainsFunc(f.nodes["entry-2"].host.book.Since("", time.Time{}), forgotten)) // on an idle host too
		changed := map[int]bool{}
		for _, i := range seen {
			f.is.Equal(record.EligibleTargets(records, "s", i.at), i.names) // rebuilt from records
			changed[len(i.names)] = true
		}
		f.is.True(len(changed) >= 3) // the check saw targets go
	})
}

// TestJoinMovesFewServices compares the services that a join or a leave moves with the least possible.
func TestJoinMovesFewServices(t *testing.T) {
	const services = 1000
	var members []host.Member
	for i := range 13 {
		members = append(members, host.Member{Name: fmt.Sprintf("entry-%d", i+1), Domain: []string{"a", "b", "c"}[i%3]})
	}
	moved := 0
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		before := host.Homes(name, 1, "a", "", members[:12])[0].Name
		if host.Homes(name, 1, "a", "", members)[0].Name != before {
			moved++
		}
	}
	share := float64(moved) / services * 13
	t.Logf("a thirteenth host took %d of %d services, %.2f times the least possible", moved, services, share)
	if share > 1.3 {
		t.Errorf("a join moved %.2f times the least possible", share)
	}
}
