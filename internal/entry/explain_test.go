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

// TestRecordsRebuildEligibility checks that event records alone show which targets were eligible at any time, while one
// target is ejected and another one removed by a note.
func TestRecordsRebuildEligibility(t *testing.T) {
	handler := func(b *fakeBackend, w http.ResponseWriter, r *http.Request, body string) {
		if b.name == "target-2" && r.URL.Path == "/bad" {
			panic(http.ErrAbortHandler)
		}
		echo(b, w, r, body)
	}
	type observation struct {
		at    time.Time
		names []string
	}
	withFleetServing(t, 2, 5, handler, func(f *fleet, _ []*fakeBackend) {
		h := f.nodes["entry-1"].host
		var observations []observation
		observe := func() {
			time.Sleep(30 * time.Millisecond)
			observations = append(observations, observation{time.Now(), h.dispatcher.Services()["s"].Eligible()})
			time.Sleep(30 * time.Millisecond)
		}
		observe()
		for i := range 60 {
			_, _, _ = f.send(f.nodes["entry-1"], http.MethodPost, "/bad", fmt.Sprint(i), nil)
			if i%10 == 0 {
				observe()
			}
		}
		f.publish("[Note]\nFollows = 1\nOperator = test\nReason = withdraw\n[Withdraw]\nTargets = target-4\n")
		f.awaitNote(2, noteBound)
		observe()
		time.Sleep(5 * time.Second)
		observe()
		records := h.records.Since("", time.Time{})
		kinds := map[string]bool{}
		for _, r := range records {
			kinds[r.Cause] = true
		}
		f.is.True(kinds["FailuresInARow"] && kinds["WithdrawnByNote"])
		isTargetRemoval := func(r record.Record) bool { return r.Kind == record.TargetForgotten && r.Target == "target-4" }
		f.is.True(slices.ContainsFunc(records, isTargetRemoval))
		f.is.True(slices.ContainsFunc(f.nodes["entry-2"].host.records.Since("", time.Time{}), isTargetRemoval)) // also recorded by a host without requests
		targetCounts := map[int]bool{}
		for _, i := range observations {
			f.is.Equal(record.EligibleTargets(records, "s", i.at), i.names) // eligible targets according to the records
			targetCounts[len(i.names)] = true
		}
		f.is.True(len(targetCounts) >= 3) // the set of eligible targets has changed twice
	})
}

// TestJoinMovesFewHomes checks that a host that joins becomes the home of little more than its share of the services, so
// that few callers have to connect to another host.
func TestJoinMovesFewHomes(t *testing.T) {
	const services = 1000
	var members []host.Member
	for i := range 13 {
		members = append(members, host.Member{Name: fmt.Sprintf("entry-%d", i+1), Domain: []string{"a", "b", "c"}[i%3]})
	}
	homeMoves := 0
	for i := range services {
		name := fmt.Sprintf("service-%d", i)
		before := host.Homes(name, 1, "a", "", members[:12])[0].Name
		if host.Homes(name, 1, "a", "", members)[0].Name != before {
			homeMoves++
		}
	}
	share := float64(homeMoves) / services * 13
	t.Logf("a thirteenth host became home to %d of %d services, %.2f times its share", homeMoves, services, share)
	if share > 1.3 {
		t.Errorf("a joining host became home to %.2f times its share of services, want at most 1.3", share)
	}
}
