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
	_, quarantined := l.RecordBreak(ended, Break{Target: target, Started: started, Ended: ended, Fingerprints: []uint64{7}})
	return quarantined
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

// TestBreaksOfOthers lists what happened to other requests and checks whether a request that broke the connections of three
// targets is in quarantine.
func TestBreaksOfOthers(t *testing.T) {
	for _, c := range []struct {
		name string
		// before and meanwhile are the breaks and responses of others before the first break of the request and after it.
		before, meanwhile struct{ breaks, responses int }
		// targetFails is that of Break, and ended whether the targets have ended.
		targetFails, ended bool
		quarantined        bool
	}{
		{name: "nothing is known", quarantined: true},
		{name: "others are answered", meanwhile: struct{ breaks, responses int }{0, 10}, quarantined: true},
		{name: "few break connections", meanwhile: struct{ breaks, responses int }{1, 40}, quarantined: true},
		{name: "as many break connections", meanwhile: struct{ breaks, responses int }{3, 4}},
		{name: "many have broken connections before", before: struct{ breaks, responses int }{6, 6}},
		{name: "many have broken connections before, and few meanwhile", before: struct{ breaks, responses int }{6, 6}, meanwhile: struct{ breaks, responses int }{0, 80}, quarantined: true},
		{name: "the targets break connections of others", targetFails: true},
		{name: "the targets break connections of others and end", targetFails: true, ended: true, quarantined: true},
		{name: "as many break connections, and the targets end", meanwhile: struct{ breaks, responses int }{3, 4}, ended: true, quarantined: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := New(Config{Targets: 3})
			now := time.Duration(0)
			others := func(o struct{ breaks, responses int }) {
				for range o.breaks {
					now++
					l.RecordBreak(now, Break{Target: "other", Started: now - 1, Ended: now, Fingerprints: []uint64{uint64(1000 + now)}})
				}
				for range o.responses {
					l.RecordSuccess(now, 999)
				}
			}
			others(c.before)
			quarantined := false
			for i, target := range []string{"a", "b", "c"} {
				now++
				b := Break{Target: target, Started: now - 1, Ended: now, TargetFails: c.targetFails, Fingerprints: []uint64{7}}
				_, broke := l.RecordBreak(now, b)
				quarantined = quarantined || broke
				if c.ended {
					_, ended := l.RecordEnd(now, b)
					quarantined = quarantined || ended
				}
				if i == 0 {
					others(c.meanwhile)
				}
			}
			is.Equal(quarantined, c.quarantined)
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
		b := Break{Target: "a", Started: at, Ended: at, Fingerprints: []uint64{uint64(i)}}
		_, broke := l.RecordBreak(at, b)
		_, ended := l.RecordEnd(at, b)
		is.True(broke || ended)
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
				crash(l, now, now, fmt.Sprint(runs))
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

// TestSharedBreaks lists runs of requests with the same path, 7, that broke a connection, with what happened to others, and
// checks whether all requests with that path are in quarantine afterwards.
func TestSharedBreaks(t *testing.T) {
	type run struct {
		fingerprint uint64
		target      string
		// ended is set if the target has ended, answered is the number of responses to others before the run, and otherBreaks
		// that of their connections that broke.
		ended                 bool
		answered, otherBreaks int
		// success is set if the run was answered instead.
		success bool
	}
	ends := func(fingerprint uint64, target string) run {
		return run{fingerprint: fingerprint, target: target, ended: true, answered: 2}
	}
	breaks := func(fingerprint uint64, target string) run {
		return run{fingerprint: fingerprint, target: target, answered: 20, otherBreaks: 1}
	}
	for _, c := range []struct {
		name        string
		runs        []run
		quarantined bool
	}{
		{"three targets end under three callers", []run{ends(1, "a"), ends(2, "b"), ends(3, "c")}, true},
		{"under two callers", []run{ends(1, "a"), ends(2, "b"), ends(1, "c")}, true},
		{"under one caller", []run{ends(1, "a"), ends(1, "b"), ends(1, "c"), ends(1, "d")}, false},
		{"two targets end", []run{ends(1, "a"), ends(2, "b"), ends(3, "b")}, false},
		{"an answer between", []run{ends(1, "a"), ends(2, "b"), {fingerprint: 4, success: true}, ends(3, "c")}, false},
		{"others are not answered", []run{{fingerprint: 1, target: "a", ended: true}, {fingerprint: 2, target: "b", ended: true}, {fingerprint: 3, target: "c", ended: true}}, false},
		{"three targets break connections", []run{breaks(1, "a"), breaks(2, "b"), breaks(3, "c")}, true},
		{"of one caller", []run{breaks(1, "a"), breaks(1, "b"), breaks(1, "c")}, false},
		{"those of others too", []run{breaks(1, "a"), {fingerprint: 2, target: "b", answered: 20, otherBreaks: 9}, breaks(3, "c")}, false},
		{"too few others are answered", []run{breaks(1, "a"), {fingerprint: 2, target: "b", answered: 9}, {fingerprint: 3, target: "c", answered: 9}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := New(Config{Targets: 3})
			var now time.Duration
			other := uint64(100)
			for _, r := range c.runs {
				for range r.answered {
					l.RecordSuccess(now, 99)
				}
				for range r.otherBreaks {
					l.RecordBreak(now, Break{Target: "x", Started: now, Ended: now, Fingerprints: []uint64{other, other + 1}})
					other += 2
				}
				started := now
				now += time.Second
				b := Break{Target: r.target, Started: started, Ended: now, Fingerprints: []uint64{r.fingerprint, 7}}
				if r.success {
					l.RecordSuccess(now, b.Fingerprints...)
					continue
				}
				l.RecordBreak(now, b)
				if r.ended {
					l.RecordEnd(now, b)
				}
			}
			_, found := l.Lookup(now, 50, 7) // of a caller that has not sent it before
			is.Equal(found, c.quarantined)
		})
	}
}

// TestSharedQuarantineReturnsAtFirstBreak checks that what requests share is tried once when its quarantine has ended, and is
// answered again if that try succeeds.
func TestSharedQuarantineReturnsAtFirstBreak(t *testing.T) {
	is := is.New(t)
	l := New(Config{Targets: 3})
	tries := 0
	try := func(at time.Duration) {
		tries++
		b := Break{Target: fmt.Sprint(tries), Started: at, Ended: at + 1, Fingerprints: []uint64{uint64(100 + tries), 7}}
		l.RecordBreak(at+1, b)
		l.RecordEnd(at+1, b)
	}
	at := time.Duration(0)
	for ; at < time.Minute; at += time.Second {
		l.RecordSuccess(at, 99)
		l.RecordSuccess(at, 99)
		if _, found := l.Lookup(at, 50, 7); !found {
			try(at)
		}
	}
	is.Equal(tries, 3+1) // after 10 s
	at += durations[1]
	is.True(l.Suspected(at, 50, 7)) // one at a time
	l.RecordSuccess(at, 51, 7)
	is.True(!l.Suspected(at, 50, 7))
}
