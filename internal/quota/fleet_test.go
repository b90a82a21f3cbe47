package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"briarcroft/internal/fixedseed"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

var bound = Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// step is the time between two actions of a host in the tests.
const step = 5 * time.Millisecond

// testHost is one host of a testFleet. Its clock differs from that of others by offset.
type testHost struct {
	name                  string
	offset                time.Duration
	starts                uint64
	holder                *Holder
	wallet                *Wallet
	frozenUntil, deadTill time.Duration
	// side is the host's side of a partition since sideAt, and goneAt when the host was last frozen or ended.
	side           int
	sideAt, goneAt time.Duration
	startedAt      time.Duration
	// roundEnds is when the round of asking for votes ends, and callEnds when the call to the holder does; both are 0 if there is
	// none. asked is the elector that is asked for tokens.
	roundEnds, callEnds, nextUpdate time.Duration
	asked                           string
	pending                         []*testRequest
}

type testRequest struct {
	account string
	at      time.Duration
	waited  bool
}

// message is a call or a reply that is delivered at a time, unless the receiver has started anew.
type message struct {
	at     time.Duration
	to     *testHost
	starts uint64
	handle func()
}

// fault is a change of the code under test that must break the bound.
type fault int

const (
	noFault fault = iota
	// votesForAll makes electors vote for each candidate that asks.
	votesForAll
	// undividedEmergency makes each host spend the emergency tokens of all.
	undividedEmergency
)

// testFleet plays hosts that exchange messages with random delays and losses.
type testFleet struct {
	random   *rand.Rand
	now      time.Duration
	hosts    []*testHost
	homes    []*testHost
	limits   map[string]Limit
	fault    fault
	loss     float64
	messages []message
	// arrived holds when requests arrived, refused when they were refused, by account.
	arrived, refused map[string][]time.Duration
	err              error
}

func newTestFleet(seed uint64, hosts int, limits map[string]Limit) *testFleet {
	f := &testFleet{random: rand.New(rand.NewPCG(seed, 1)), now: time.Minute, limits: limits, arrived: map[string][]time.Duration{}, refused: map[string][]time.Duration{}}
	for i := range hosts {
		h := &testHost{name: fmt.Sprintf("h%d", i), offset: time.Duration(i) * time.Hour}
		f.hosts = append(f.hosts, h)
		f.start(h)
	}
	f.homes = f.hosts
	return f
}

func (f *testFleet) clock(h *testHost) time.Duration { return f.now + h.offset }

// start starts a host, or starts it anew.
func (f *testFleet) start(h *testHost) {
	h.starts++
	h.startedAt = f.now
	h.holder = NewHolder(HolderConfig{Self: h.name, Incarnation: h.starts, Bound: bound})
	h.wallet = NewWallet(WalletConfig{Host: h.name, Incarnation: h.starts, Bound: bound, Start: f.clock(h)})
	h.holder.SetLimits(f.limits)
	h.wallet.SetLimits(f.limits)
	position := int(h.offset / time.Hour)
	h.wallet.SetPlace(func(string) (int, int) {
		if f.fault == undividedEmergency {
			return 1, 0
		}
		return len(f.hosts), position
	})
	h.roundEnds, h.callEnds, h.pending = 0, 0, nil
}

// sees reports whether a host counts another one as live. Hosts notice changes after 1.6 to 2.5 s, each at another time.
func (f *testFleet) sees(h, other *testHost) bool {
	noticed := 2500*time.Millisecond - (h.offset*7+other.offset*3)/time.Hour%11*90*time.Millisecond
	gone := max(other.frozenUntil, other.deadTill) > f.now
	cut := max(h.sideAt, other.sideAt)
	apart := h.side != other.side && f.now-cut > noticed
	return h == other || !apart && !(gone && f.now-other.goneAt > noticed)
}

// send delivers a message after a random delay, loses it at random, and always if the hosts are apart.
func (f *testFleet) send(from, to *testHost, handle func()) {
	if from.side != to.side || f.random.Float64() < f.loss {
		return
	}
	delay := time.Millisecond + time.Duration(f.random.ExpFloat64()*float64(4*time.Millisecond))
	if f.loss > 0 && f.random.IntN(50) == 0 {
		delay += time.Duration(f.random.IntN(900)) * time.Millisecond
	}
	f.messages = append(f.messages, message{f.now + delay, to, to.starts, handle})
}

func (f *testFleet) deliver() {
	due := f.messages
	f.messages = nil
	for _, m := range due {
		switch {
		case m.at > f.now || m.to.frozenUntil > f.now:
			f.messages = append(f.messages, m)
		case m.starts == m.to.starts && m.to.deadTill <= f.now:
			m.handle()
		}
	}
}

// update makes a host act as an elector and as a candidate.
func (f *testFleet) update(h *testHost) []*testHost {
	var live []string
	var electors []*testHost
	young := true
	for _, other := range f.hosts {
		if f.sees(h, other) {
			young = young && f.now-other.startedAt < 5*time.Second
			live = append(live, other.name)
			electors = append(electors, other)
		}
	}
	electors = electors[:min(3, len(electors))]
	if f.now < h.nextUpdate {
		return electors
	}
	h.nextUpdate = f.now + 100*time.Millisecond
	h.holder.SetElectors(f.clock(h), live[:len(electors)], 2*len(live) > len(f.hosts), young)
	asked := f.clock(h)
	if h.roundEnds > 0 {
		return electors
	}
	if _, ok := h.holder.Stand(asked); !ok {
		return electors
	}
	h.roundEnds = f.now + 150*time.Millisecond
	for _, elector := range electors {
		if elector == h {
			continue
		}
		starts := h.starts
		f.send(h, elector, func() {
			if f.fault == votesForAll {
				elector.holder.election.votedUntil = 0
			}
			if elector.holder.Vote(f.clock(elector), h.name, starts) {
				f.send(elector, h, func() {
					if h.roundEnds > 0 {
						h.holder.RecordVote(f.clock(h), asked, elector.name)
					}
				})
			}
		})
	}
	return electors
}

// call sends a request for tokens if one is due.
func (f *testFleet) call(h *testHost, electors []*testHost) {
	if wait, due := h.wallet.Due(f.clock(h)); !due || wait > 0 || h.callEnds > 0 {
		return
	}
	sent := f.clock(h)
	var names []string
	for _, e := range electors {
		names = append(names, e.name)
	}
	h.asked = h.wallet.Asked(sent, names)
	to := electors[slices.Index(names, h.asked)]
	request := h.wallet.NextRequest(sent)
	ends := f.now + CallTimeout
	h.callEnds = ends
	f.send(h, to, func() {
		reply, holding := to.holder.Serve(f.clock(to), request)
		f.send(to, h, func() {
			if h.callEnds != ends {
				return
			}
			h.callEnds = 0
			if !holding {
				h.wallet.TakeBack()
				h.wallet.NotHolder(names)
				return
			}
			h.wallet.Apply(f.clock(h), sent, reply)
		})
	})
}

// act makes a host do what is due.
func (f *testFleet) act(h *testHost) {
	electors := f.update(h)
	if h.roundEnds > 0 && f.now >= h.roundEnds {
		h.roundEnds = 0
		h.holder.EndRound(f.clock(h))
	}
	if h.callEnds > 0 && f.now >= h.callEnds {
		h.callEnds = 0
		h.wallet.Failed(f.clock(h), h.asked)
	}
	waiting := h.pending
	h.pending = nil
	for _, r := range waiting {
		token, answer, _ := h.wallet.Take(f.clock(h), r.account, r.waited, f.now-r.at > MaxWait)
		r.waited = true
		switch answer {
		case Taken:
			h.wallet.Spend(f.clock(h), token)
			f.arrived[r.account] = append(f.arrived[r.account], f.now)
		case Spent:
			f.refused[r.account] = append(f.refused[r.account], f.now)
		case Waiting:
			h.pending = append(h.pending, r)
		}
	}
	f.call(h, electors)
}

// run plays a time in which accounts send requests at the given rates to random homes.
func (f *testFleet) run(d time.Duration, rates map[string]float64) {
	for end := f.now + d; f.now < end; f.now += step {
		f.deliver()
		for _, account := range slices.Sorted(maps.Keys(rates)) {
			for expected := rates[account] * step.Seconds(); f.random.Float64() < expected; expected-- {
				h := f.homes[f.random.IntN(len(f.homes))]
				if h.deadTill <= f.now {
					h.pending = append(h.pending, &testRequest{account, f.now, false})
				}
			}
		}
		f.checkHolders()
		for _, h := range f.hosts {
			if h.deadTill > 0 && h.deadTill <= f.now {
				h.deadTill = 0
				f.start(h)
			}
			if h.frozenUntil <= f.now && h.deadTill == 0 {
				f.act(h)
			}
		}
	}
}

// checkHolders records an error if there are two holders.
func (f *testFleet) checkHolders() {
	var holders []string
	for _, h := range f.hosts {
		if h.deadTill <= f.now && h.holder.Holding(f.clock(h)) {
			holders = append(holders, h.name)
		}
	}
	if len(holders) > 1 && f.err == nil {
		f.err = fmt.Errorf("%v are holders at the same time", holders)
	}
}

// mostInWindow returns the largest number of times in any window of the bound.
func mostInWindow(times []time.Duration) int {
	most, first := 0, 0
	for i, at := range times {
		for at-times[first] >= bound.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// disturb freezes, ends or cuts off hosts, or moves the homes.
func (f *testFleet) disturb(kind int, hosts []int, d time.Duration) {
	for _, i := range hosts {
		h := f.hosts[i%len(f.hosts)]
		switch kind {
		case 0:
			h.frozenUntil, h.goneAt = f.now+d, f.now
		case 1:
			h.deadTill, h.goneAt = f.now+d, f.now
		case 2:
			h.side, h.sideAt = 1-h.side, f.now
		case 3:
			f.homes = []*testHost{h}
		case 4:
			f.homes = f.hosts
		case 5:
			h.deadTill, h.goneAt = f.now+10*time.Millisecond, f.now
		}
	}
}

// check returns an error if the requests of an account have exceeded the bound in any window.
func (f *testFleet) check() error {
	if f.err != nil {
		return f.err
	}
	for account, limit := range f.limits {
		if most := mostInWindow(f.arrived[account]); limit.Rate > 0 && float64(most) > bound.Requests(limit) {
			return fmt.Errorf("account %s with %+v had %d requests in a window, %.1f allowed", account, limit, most, bound.Requests(limit))
		}
	}
	return nil
}

var testLimits = map[string]Limit{"small": {1, 1}, "middle": {12, 12}, "large": {150, 150}, "unlimited": {}}

// playDisturbances plays drawn disturbances of a fleet in which three accounts send many times their allowance.
func playDisturbances(t *rapid.T, injected fault) error {
	f := newTestFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(3, 9).Draw(t, "hosts"), testLimits)
	f.fault = injected
	rates := map[string]float64{"small": 9, "middle": 80, "large": 600}
	f.run(3*time.Second, map[string]float64{"middle": 7})
	if len(f.arrived["middle"]) == 0 {
		t.Fatal("no request was served")
	}
	// Losses begin later, as with one in five messages lost no holder may be elected in three seconds.
	f.loss = rapid.SampledFrom([]float64{0, 0.02, 0.2}).Draw(t, "loss")
	for range rapid.IntRange(1, 6).Draw(t, "disturbances") {
		kind := rapid.IntRange(0, 5).Draw(t, "kind")
		hosts := rapid.SliceOfN(rapid.IntRange(0, 8), 1, 4).Draw(t, "of")
		f.disturb(kind, hosts, time.Duration(rapid.IntRange(50, 6000).Draw(t, "ms"))*time.Millisecond)
		f.run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "after"))*time.Millisecond, rates)
	}
	f.run(2*time.Second, rates)
	return f.check()
}

// TestBoundHolds guards against more requests in any window than the bound allows, whatever happens to hosts and messages.
func TestBoundHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := playDisturbances(t, noFault); err != nil {
			t.Fatal(err)
		}
	})
}
