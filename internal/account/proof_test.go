package account

import (
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"briarcroft/internal/fixedseed"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// TestMayAccept guards against keys that are accepted although nothing, or too little, is proven.
func TestMayAccept(t *testing.T) {
	const limit = 5 * time.Second
	for _, c := range []struct {
		name       string
		statements []Statement
		now, limit time.Duration
		want       bool
	}{
		{"nothing proven", nil, time.Hour, limit, false},
		{"nothing proven, no limit", nil, time.Hour, 0, true},
		{"just proven", []Statement{{1, time.Hour}}, time.Hour, limit, true},
		{"old, but younger than the limit less the margin", []Statement{{1, time.Hour}}, time.Hour + 4500*time.Millisecond, limit, true},
		{"older than that", []Statement{{1, time.Hour}}, time.Hour + 4501*time.Millisecond, limit, false},
		{"an older statement that arrives later", []Statement{{1, time.Hour}, {2, time.Minute}}, time.Hour + time.Second, limit, true},
		{"after days of suspension", []Statement{{1, time.Hour}}, 100 * 24 * time.Hour, limit, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var p Proof
			for _, s := range c.statements {
				p.Record(s)
			}
			is.Equal(p.MayAccept(c.now, c.limit), c.want)
		})
	}
}

// TestTell guards against a reply that makes the proof of its sender seem younger.
func TestTell(t *testing.T) {
	is := is.New(t)
	var p Proof
	revision, field := p.Tell(time.Hour)
	is.Equal(revision, int64(0))
	is.Equal(field, uint32(0))
	_, ok := FromReply(time.Hour, 7, 0)
	is.True(!ok)
	p.Record(FromCall(time.Hour, 7))
	for _, c := range []struct {
		age  time.Duration
		want uint32
	}{{0, 1}, {1, 2}, {time.Millisecond, 2}, {1500*time.Millisecond + 1, 1502}, {math.MaxUint32 * time.Millisecond, 0}, {100 * 24 * time.Hour, 0}} {
		revision, field := p.Tell(time.Hour + c.age)
		is.Equal(field, c.want)
		if s, ok := FromReply(3*time.Hour, revision, field); ok {
			is.Equal(s.Revision, int64(7))
			is.True(s.AsOf <= 3*time.Hour-c.age)
		}
	}
}

// TestRestores guards against keys that come back with an older copy of the store.
func TestRestores(t *testing.T) {
	is := is.New(t)
	var r Restores
	is.True(r.MayProve(time.Hour, 0, false))
	is.True(!r.MayProve(2*time.Hour, 1, false))
	is.True(r.MayProve(2*time.Hour, 1, true))
	r.PeerReplied(2*time.Hour - 1)
	is.True(!r.MayProve(2*time.Hour+1, 1, false))
	r.PeerReplied(2 * time.Hour)
	is.True(r.MayProve(2*time.Hour+1, 1, false))
	is.True(!r.MayProve(3*time.Hour, 2, false))
	is.True(r.MayProve(3*time.Hour+restoreGrace, 2, false))
}

// flaw is a fault that is built into the hosts of a history, to show that the property test would find it.
type flaw string

const (
	noFlaw              flaw = ""
	flawCallReceipt     flaw = "calls count from their answer"
	flawReplyReceipt    flaw = "replies count from their receipt"
	flawUnsolicited     flaw = "messages that nobody asked for count"
	flawClockStops      flaw = "the clock stops while the host stands still"
	flawRevisionIgnored flaw = "statements count that the replica does not fulfill"
	flawKeptOnRestart   flaw = "a host that starts takes over a proof"
)

// message is what the store or a host has told: up to which revision it knew the store, and what it had proven. The receiver may get
// it at any later time, or never.
type message struct {
	revision int64
	proven   int64
	field    uint32
	// sent is when the receiver had sent its request, on its own clock; solicited is set if there was one.
	sent      time.Duration
	solicited bool
}

// testHost is a host of a history. Its replica is complete up to revision, which is below zero if it has none. The key is withdrawn
// with revision 1.
type testHost struct {
	proof    Proof
	revision int64
	// stood is for how long the host has stood still, and clock is where its clocks started.
	stood, clock time.Duration
	// asked holds the times of the requests to the store, and of those to peers, that were not answered yet; the others hold the
	// messages on their way to the host.
	askedStore, askedPeer         []time.Duration
	answers, replies, unsolicited []message
}

// history is a run of hosts in which a key is withdrawn.
type history struct {
	flaw  flaw
	now   time.Duration
	hosts []testHost
	// stored is the revision of the store, and withdrawnAt when the store acknowledged revision 1.
	stored      int64
	withdrawnAt time.Duration
}

const historyLimit = 5 * time.Second

// clockOf reads the clock of a host.
func (x *history) clockOf(h *testHost) time.Duration {
	if x.flaw == flawClockStops {
		return h.clock + x.now - h.stood
	}
	return h.clock + x.now
}

// eventKind is what happens in one step of a history.
type eventKind int

// Kinds of events.
const (
	storeAsked eventKind = iota
	storeAnswers
	answerArrives
	storeRead // the three above at once
	peerAsked
	peerReplies
	replyArrives
	peerRead // the three above at once
	changesSent
	changesArrive
	hostStoodStill
	hostRestarts
	configurationWritten
	kindCount
)

// step is one event of a history: what happens at a host, with a peer and after a time.
type step struct {
	Kind       eventKind
	Host, Peer int
	Wait       time.Duration
}

// play plays steps and returns the first violation, or the empty string. The key is withdrawn after a third of the steps.
func (x *history) play(steps []step) string {
	for i, s := range steps {
		x.now += s.Wait
		if i == len(steps)/3 {
			x.stored, x.withdrawnAt = 1, x.now
		}
		h, peer := &x.hosts[s.Host%len(x.hosts)], &x.hosts[s.Peer%len(x.hosts)]
		x.happen(s.Kind, s.Wait, h, peer)
		for j := range x.hosts {
			h := &x.hosts[j]
			if h.revision == 0 && x.stored > 0 && x.now-x.withdrawnAt > historyLimit && h.proof.MayAccept(x.clockOf(h), historyLimit) {
				return fmt.Sprintf("after step %d host %d accepts a key that was withdrawn %v ago", i, j, x.now-x.withdrawnAt)
			}
		}
	}
	return ""
}

// take removes and returns the oldest element; ok is false if there is none.
func take[T any](list *[]T) (first T, ok bool) {
	if len(*list) == 0 {
		return first, false
	}
	first = (*list)[0]
	*list = (*list)[1:]
	return first, true
}

// happen plays one event. Messages wait for any time before they reach their receiver, as in networks and in the buffers of hosts that
// stand still; those that never do are lost.
func (x *history) happen(kind eventKind, wait time.Duration, h, peer *testHost) {
	switch kind {
	case storeAsked:
		h.askedStore = append(h.askedStore, x.clockOf(h))
	case storeAnswers:
		if sent, ok := take(&h.askedStore); ok {
			h.answers = append(h.answers, message{revision: x.stored, sent: sent})
		}
	case answerArrives:
		if m, ok := take(&h.answers); ok {
			h.revision = max(h.revision, m.revision)
			if x.flaw == flawCallReceipt {
				m.sent = x.clockOf(h)
			}
			h.proof.Record(FromCall(m.sent, m.revision))
		}
	case storeRead:
		h.revision = max(h.revision, x.stored)
		h.proof.Record(FromCall(x.clockOf(h), x.stored))
	case peerAsked:
		h.askedPeer = append(h.askedPeer, x.clockOf(h))
	case peerReplies:
		if sent, ok := take(&h.askedPeer); ok {
			h.replies = append(h.replies, x.tell(peer, sent, true))
		}
	case replyArrives:
		if m, ok := take(&h.replies); ok {
			x.receive(h, m)
		}
	case peerRead:
		x.receive(h, x.tell(peer, x.clockOf(h), true))
	case changesSent:
		h.unsolicited = append(h.unsolicited, x.tell(peer, 0, false))
	case changesArrive:
		if m, ok := take(&h.unsolicited); ok {
			h.revision = max(h.revision, m.revision)
			x.receive(h, m)
		}
	case hostStoodStill:
		h.stood += wait
	case hostRestarts:
		x.restart(h)
	case configurationWritten:
		if x.stored > 0 {
			x.stored++
		}
	}
}

// tell returns what a host tells another one.
func (x *history) tell(h *testHost, sent time.Duration, solicited bool) message {
	revision, field := h.proof.Tell(x.clockOf(h))
	return message{revision: h.revision, proven: revision, field: field, sent: sent, solicited: solicited}
}

// receive handles what a peer has proven.
func (x *history) receive(h *testHost, m message) {
	if !m.solicited && x.flaw != flawUnsolicited {
		return
	}
	if !m.solicited || x.flaw == flawReplyReceipt {
		m.sent = x.clockOf(h)
	}
	if s, ok := FromReply(m.sent, m.proven, m.field); ok && (h.revision >= s.Revision || x.flaw == flawRevisionIgnored) {
		h.proof.Record(s)
	}
}

// restart empties a host's replica. The messages to it are lost.
func (x *history) restart(h *testHost) {
	age, proven := h.proof.Age(x.clockOf(h))
	*h = testHost{clock: h.clock, stood: h.stood, revision: -1}
	if proven && x.flaw == flawKeptOnRestart {
		h.proof.Record(Statement{AsOf: x.clockOf(h) - age})
	}
}

// histories generates the steps of a history.
func histories() *rapid.Generator[[]step] {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind: eventKind(rapid.IntRange(0, int(kindCount)-1).Draw(t, "kind")),
			Host: rapid.IntRange(0, 8).Draw(t, "host"), Peer: rapid.IntRange(0, 8).Draw(t, "peer"),
			Wait: time.Duration(rapid.SampledFrom([]int{0, 1, 10, 100, 500, 3000}).Draw(t, "wait")) * time.Millisecond,
		}
	}), 60, 300)
}

// newHistory returns a history of hosts whose clocks differ by hours.
func newHistory(f flaw, hosts int) *history {
	x := &history{flaw: f, now: time.Minute, hosts: make([]testHost, hosts)}
	for i := range x.hosts {
		x.hosts[i].clock = time.Duration(i) * time.Hour
	}
	return x
}

// TestNoWithdrawnKeyIsAccepted plays histories of 3 to 9 hosts with random delays, losses, restarts and times of standing still: no
// host accepts a key that was withdrawn longer ago than the limit.
func TestNoWithdrawnKeyIsAccepted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, steps := rapid.IntRange(3, 9).Draw(t, "hosts"), histories().Draw(t, "steps")
		if violation := newHistory(noFlaw, hosts).play(steps); violation != "" {
			t.Fatal(violation)
		}
	})
}

// TestHistoriesFindFlaws builds flaws into the hosts, each of which one of the histories must reveal, and none without a flaw.
func TestHistoriesFindFlaws(t *testing.T) {
	const tries = 2000
	for _, f := range []flaw{noFlaw, flawCallReceipt, flawReplyReceipt, flawUnsolicited, flawClockStops, flawRevisionIgnored, flawKeptOnRestart} {
		t.Run(string(f), func(t *testing.T) {
			for seed := range tries {
				if violation := newHistory(f, 3+seed%7).play(histories().Example(seed)); violation != "" {
					t.Logf("history %d: %s", seed, violation)
					is.New(t).True(f != noFlaw)
					return
				}
			}
			is.New(t).Equal(f, noFlaw)
		})
	}
}
