package quota

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// pair is a holder that is the only host, and the wallet of another one, which asks it for tokens.
type pair struct {
	now    time.Duration
	holder *Holder
	wallet *Wallet
}

func newPair(limit Limit) *pair {
	limits := map[string]Limit{"a": limit}
	p := &pair{time.Minute, NewHolder(HolderConfig{Self: "h", Bound: bound}), NewWallet(WalletConfig{Host: "w", Bound: bound, Start: 2 * time.Minute})}
	p.holder.SetLimits(limits)
	p.wallet.SetLimits(limits)
	p.advance(20 * time.Second)
	return p
}

// advance lets a time pass in which the host remains the holder.
func (p *pair) advance(d time.Duration) {
	for end := p.now + d; ; p.now = min(end, p.now+100*time.Millisecond) {
		p.holder.SetElectors(p.now, []string{"h"}, true, true)
		p.holder.Stand(p.now)
		if p.now == end {
			return
		}
	}
}

// spend spends a token, for which the wallet asks the holder if it has none. It returns a time if the allowance is spent.
func (p *pair) spend() (retryAfter time.Duration) {
	token, answer, retryAfter := p.wallet.Take(p.now, "a", false, false)
	if answer == Waiting {
		reply, _ := p.holder.Serve(p.now, p.wallet.NextRequest(p.now))
		p.wallet.Apply(p.now, p.now, reply)
		token, answer, retryAfter = p.wallet.Take(p.now, "a", true, true)
	}
	if answer == Taken {
		p.wallet.Spend(p.now, token)
		return 0
	}
	return retryAfter
}

// TestRetryAfterIsTrue guards against refused callers that return at the time told and are refused again, and against times that
// are the same for all.
func TestRetryAfterIsTrue(t *testing.T) {
	is := is.New(t)
	p := newPair(Limit{5, 5})
	var returns []time.Duration
	for range 40 {
		if retryAfter := p.spend(); retryAfter > 0 {
			returns = append(returns, p.now+retryAfter)
		}
	}
	is.True(len(returns) > 10)
	for i, at := range returns[:8] {
		is.True(i == 0 || at > returns[i-1])
		p.advance(at - p.now)
		is.Equal(p.spend(), time.Duration(0))
	}
}

// TestLostHolder guards against requests that wait in vain for tokens while there is no holder, and against more emergency tokens
// than a host's part, or any before one window has passed since the start.
func TestLostHolder(t *testing.T) {
	is := is.New(t)
	p := newPair(Limit{10, 10})
	p.wallet.SetPlace(func(string) (int, int) { return 3, 0 })
	for i, want := range []Answer{Waiting, Waiting, Spent, Taken, Taken, Taken, Spent} {
		switch i {
		case 1:
			p.now += holderSilence + 1
		case 2:
			p.now += lostWait + 1
		case 3:
			p.now = p.wallet.config.Start + bound.Window
			p.wallet.askedFirst = p.now - 2*lostWait
		}
		p.wallet.NextRequest(p.now)
		token, answer, _ := p.wallet.Take(p.now, "a", false, false)
		is.Equal(answer, want)
		if answer == Taken {
			is.Equal(token.Kind, KindEmergency)
			p.wallet.Spend(p.now, token)
		}
	}
}

// TestOddRequests guards against tokens that are created by values that no home sends, and by requests that are late or repeated.
func TestOddRequests(t *testing.T) {
	is := is.New(t)
	p := newPair(Limit{10, 10})
	h, now := p.holder, p.now
	serve := func(sequence uint64, d Demand) float64 {
		d.Account = "a"
		reply, holding := h.Serve(now, Request{Sender: "w", Sequence: sequence, Term: h.term, Demands: []Demand{d}})
		is.True(holding)
		if len(reply.Grants) == 0 {
			return 0
		}
		return reply.Grants[0].Tokens
	}
	capacity := math.Floor(bound.capacity(Limit{10, 10}))
	is.Equal(serve(1, Demand{Wanted: math.Inf(1)}), capacity)
	for i, d := range []Demand{{Wanted: 5, Returned: math.NaN()}, {Wanted: 5, Used: math.NaN()}, {Wanted: 5, Returned: -3}, {Wanted: math.NaN()}, {Wanted: -1}} {
		is.Equal(serve(uint64(2+i), d), 0.0)
	}
	is.Equal(serve(8, Demand{Returned: 4, Wanted: 9}), 4.0)
	// A repeated request, one of another term and one of more tokens than are leased.
	is.Equal(serve(8, Demand{Returned: 4, Wanted: 9}), 0.0)
	h.term++
	reply, _ := h.Serve(now, Request{Sender: "w", Sequence: 9, Term: h.term - 1, Demands: []Demand{{Account: "a", Returned: 4, Wanted: 9}}})
	is.Equal(reply.Grants[0].Tokens, 0.0)
	is.Equal(serve(10, Demand{Returned: 1000, Wanted: 1000}), capacity)
}
