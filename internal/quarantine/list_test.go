package quarantine

import (
	"fmt"
	"os"
	"testing"
	"time"

	"briarcroft/internal/fixedseed"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// crash records a run of a request that broke the connection of a target.
func crash(l *List, started, ended time.Duration, target string) bool {
	return l.RecordBreak(ended, started, 7, target)
}

// TestBreaks lists runs of one request that broke a connection and checks after which of them it is in quarantine.
func TestBreaks(t *testing.T) {
	type run struct {
		started, ended time.Duration
		target         string
	}
	for _, c := range []struct {
		name        string
		runs        []run
		quarantined bool
	}{
		{"two targets", []run{{0, 1, "a"}, {2, 3, "b"}}, false},
		{"three targets", []run{{0, 1, "a"}, {2, 3, "b"}, {4, 5, "c"}}, true},
		{"the same target three times", []run{{0, 1, "a"}, {2, 3, "a"}, {4, 5, "a"}}, false},
		{"three targets that fail together", []run{{0, 10, "a"}, {1, 10, "b"}, {2, 11, "c"}, {3, 11, "d"}}, false},
		{"long after one another", []run{{0, 1, "a"}, {time.Hour, time.Hour + 1, "b"}, {2 * time.Hour, 2*time.Hour + 1, "c"}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := New(Config{Targets: 3})
			var now time.Duration
			reported := false
			for _, r := range c.runs {
				reported = crash(l, r.started, r.ended, r.target) || reported
				now = r.ended
			}
			_, found := l.Lookup(now, 7)
			is.Equal(found, c.quarantined)
			is.Equal(reported, c.quarantined)
			is.True(l.Suspected(now, 7))
			_, found = l.Lookup(now, 8)
			is.True(!found) // another request
		})
	}
}

// TestSuccessEndsSuspicion checks that a request that is answered must crash as many targets as before again.
func TestSuccessEndsSuspicion(t *testing.T) {
	is := is.New(t)
	l := New(Config{Targets: 3})
	for i := range 10 {
		at := time.Duration(i) * time.Second
		is.True(!crash(l, at, at+1, fmt.Sprint(i)))
		if i%2 == 1 {
			l.RecordSuccess(at+2, 7)
			is.True(!l.Suspected(at+2, 7))
		}
	}
}

// TestQuarantineReturnsAtFirstBreak checks that a request that goes on crashing targets is tried only once each time its
// quarantine has ended, after ever longer times.
func TestQuarantineReturnsAtFirstBreak(t *testing.T) {
	is := is.New(t)
	l := New(Config{Targets: 2})
	tries := 0
	for at := time.Duration(0); at < 3*time.Hour; at += time.Second {
		if _, found := l.Lookup(at, 7); !found {
			tries++
			crash(l, at, at+1, fmt.Sprint(tries))
		}
	}
	is.Equal(tries, 2+4) // after 10 s, 2 minutes more, one hour more and two hours more
}

// TestQuarantineEndsWithSuccess checks that a request is no longer suspected once it was answered after its quarantine.
func TestQuarantineEndsWithSuccess(t *testing.T) {
	is := is.New(t)
	l := New(Config{Targets: 1})
	is.True(crash(l, 0, 1, "a"))
	l.RecordSuccess(2, 7)
	_, found := l.Lookup(2, 7)
	is.True(found) // a run that began before does not end the quarantine
	l.RecordSuccess(2+durations[0], 7)
	is.True(!l.Suspected(2+durations[0], 7))
}

// TestMergedQuarantineIsContinued checks that a request that a peer has put in quarantine for the second time is put there
// for the third time by a host that learned of that.
func TestMergedQuarantineIsContinued(t *testing.T) {
	is := is.New(t)
	l := New(Config{Targets: 3})
	l.Merge(0, []Request{{7, durations[1] - time.Second, "crashes"}})
	is.True(crash(l, durations[1], durations[1]+1, "a"))
	r, found := l.Lookup(durations[1]+1, 7)
	is.True(found)
	is.Equal(r.Remaining, durations[2])
}

// TestMerge checks which quarantines of a peer are taken over, and that they last as long as there.
func TestMerge(t *testing.T) {
	for _, c := range []struct {
		remaining time.Duration
		taken     bool
	}{{time.Minute, true}, {maxDuration, true}, {0, false}, {-time.Minute, false}, {maxDuration + 1, false}} {
		t.Run(c.remaining.String(), func(t *testing.T) {
			is := is.New(t)
			l := New(Config{Targets: 3})
			l.Merge(time.Second, []Request{{7, c.remaining, "crashes"}})
			r, found := l.Lookup(2*time.Second, 7)
			is.Equal(found, c.taken)
			if found {
				is.Equal(r, Request{7, c.remaining - time.Second, "crashes"})
				is.Equal(l.All(2*time.Second), []Request{r})
				l.Merge(2*time.Second, []Request{{7, 1, "ends sooner"}})
				_, found = l.Lookup(3*time.Second, 7)
				is.True(found)
			}
		})
	}
}

// TestFullList checks that a full list makes room for new requests and stays bounded, in what it shares too.
func TestFullList(t *testing.T) {
	is := is.New(t)
	l := New(Config{Targets: 1})
	for i := range 2 * maxSuspects {
		at := time.Duration(i)
		is.True(l.RecordBreak(at, at, uint64(i), "a"))
	}
	now := time.Duration(2 * maxSuspects)
	is.Equal(len(l.suspects), maxSuspects)
	_, oldest := l.Lookup(now, 0)
	_, newest := l.Lookup(now, 2*maxSuspects-1)
	is.True(!oldest && newest)
	shared := l.All(now)
	is.Equal(len(shared), maxShared)
	is.Equal(shared[0].Fingerprint, uint64(2*maxSuspects-1)) // the newest first
}

// TestFleetStopsCrashingRequest sends a request that always crashes its target through several hosts, which exchange their
// lists at random times. Each host lets it crash three targets and, as it takes less than two minutes, one more when its
// first quarantine has ended. After an exchange all hosts agree.
func TestFleetStopsCrashingRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := make([]*List, rapid.IntRange(1, 5).Draw(t, "hosts"))
		for i := range lists {
			lists[i] = New(Config{Targets: 3})
		}
		now, runs := time.Duration(0), 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(1, 1000).Draw(t, "wait")) * time.Millisecond
			l := lists[rapid.IntRange(0, len(lists)-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "exchange") {
				l.Merge(now, lists[rapid.IntRange(0, len(lists)-1).Draw(t, "peer")].All(now))
				continue
			}
			if _, found := l.Lookup(now, 7); !found {
				runs++
				l.RecordBreak(now, now, 7, fmt.Sprint(runs))
			}
		}
		if runs > (3+1)*len(lists) {
			t.Fatalf("%d runs on %d hosts", runs, len(lists))
		}
		for range lists {
			for i, l := range lists {
				l.Merge(now, lists[(i+1)%len(lists)].All(now))
			}
		}
		_, first := lists[0].Lookup(now, 7)
		for i, l := range lists {
			if _, found := l.Lookup(now, 7); found != first {
				t.Fatalf("hosts 0 and %d differ after an exchange", i)
			}
		}
	})
}
