package inner

import (
	"fmt"
	"testing"
	"time"

	"briarcroft/internal/account"

	"github.com/matryer/is"
)

// TestProofsAtScale spreads what one host after the other proves by replies to heartbeats, as often as watchers do, and bounds how old
// the proofs of all hosts get and what they cost. It guards against hosts that refuse keys on a calm day in large fleets.
func TestProofsAtScale(t *testing.T) {
	const (
		// proofInterval is how often one of the watchers makes a call without a wait, and roundTrip how long a heartbeat takes.
		proofInterval = 1200 * time.Millisecond
		roundTrip     = 20 * time.Millisecond
		maxAge        = 3 * time.Second
	)
	for _, c := range []struct{ hosts, domains int }{{106, 3}, {313, 3}, {313, 4}} {
		t.Run(fmt.Sprint(c.hosts, " hosts in ", c.domains), func(t *testing.T) {
			f := newSimulatedFleetIn(c.domains, c.hosts)
			proofs := map[string]*account.Proof{}
			for _, h := range f.hosts {
				proof := &account.Proof{}
				proofs[h.name] = proof
				proof.Record(account.FromCall(0, 1))
				h.heartbeats.SendTime = func() time.Duration { return f.now - roundTrip }
				h.heartbeats.OnReply = func(r ReceivedReply) {
					// Messages arrive at once here, so that the peer's proof is still what it told.
					revision, field := proofs[r.Sender].Tell(f.now)
					if s, ok := account.FromReply(r.Sent, revision, field); ok && r.MembersKnown {
						proof.Record(s)
					}
				}
			}
			f.run(5*time.Second, nil)
			var oldest time.Duration
			next, watcher := f.now, 0
			f.run(25*time.Second, func() bool {
				if f.now >= next {
					proofs[f.hosts[watcher].name].Record(account.FromCall(f.now-roundTrip, 1))
					next, watcher = f.now+proofInterval, (watcher+1)%c.domains
				}
				for _, p := range proofs {
					if age, _ := p.Age(f.now); f.now > 12*time.Second {
						oldest = max(oldest, age)
					}
				}
				return false
			})
			t.Logf("oldest proof %v", oldest)
			is.New(t).True(oldest < maxAge)
		})
	}
}
