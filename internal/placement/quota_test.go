package placement

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"briarcroft/internal/quota"

	"github.com/matryer/is"
)

// limitAccounts gives the home a wallet with the limits of accounts.
func (f *testHome) limitAccounts(limits map[string]quota.Limit) *quota.Wallet {
	w := quota.NewWallet(quota.WalletConfig{Host: "h", Bound: quota.Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, Start: f.now})
	w.SetLimits(limits)
	f.home.config.Allowances, f.home.config.BootTime = w, func() time.Duration { return f.now }
	return w
}

// grant gives the wallet tokens of account a, of which there are more after a wait.
func (f *testHome) grant(w *quota.Wallet, tokens float64, wait time.Duration) {
	w.NextRequest(f.now)
	w.Apply(f.now, f.now, quota.Reply{Term: 1, Grants: []quota.Grant{{Account: "a", Tokens: tokens, Wait: wait}}})
}

func ofAccount(name string) func(*Request) { return func(r *Request) { r.Account = name } }

// TestAllowance guards against runs without a token, tokens that are lost with requests that did not run, and refusals of requests
// that need no token.
func TestAllowance(t *testing.T) {
	is := is.New(t)
	f := newTestHome(4, ampleBudget)
	w := f.limitAccounts(map[string]quota.Limit{"a": {Rate: 10, Burst: 10}})
	f.grant(w, 2, 100*time.Millisecond)
	first := f.submit(ofAccount("a"))
	is.True(f.placedOn(first) != "")
	is.True(f.placedOn(f.submit(ofAccount("a"))) != "")
	refused, is429 := f.lastVerdict(f.submit(ofAccount("a"))).(Refused)
	is.True(is429)
	is.Equal(refused.Reason, ReasonAllowanceSpent)
	is.Equal(refused.RetryAfter, 100*time.Millisecond)
	is.True(f.placedOn(f.submit(ofAccount(""))) != "")
	is.True(f.placedOn(f.submit(ofAccount("unlimited"))) != "")
	f.endRun(first, OutcomeNotRun)
	is.True(f.placedOn(f.submit(ofAccount("a"))) != "")
	is.Equal(w.Account("a").Spent, int64(3))
}

// TestWaitingForToken guards against requests that wait for a token for longer than MaxWait, are placed without one, or keep it
// when they leave the queue.
func TestWaitingForToken(t *testing.T) {
	is := is.New(t)
	f := newTestHome(4, ampleBudget)
	wanted := 0
	w := f.limitAccounts(map[string]quota.Limit{"a": {Rate: 10, Burst: 10}})
	f.home.config.OnTokenWanted = func() { wanted++ }
	waiting := f.submit(ofAccount("a"))
	is.Equal(f.lastVerdict(waiting), Queued{})
	is.Equal(wanted, 1)
	is.True(f.home.AwaitsTokens())
	f.grant(w, 1, 0)
	f.home.Dispatch(f.now)
	is.True(f.placedOn(waiting) != "")

	unanswered, canceled := f.submit(ofAccount("a")), f.submit(ofAccount("a"))
	f.home.CancelQueued(RequestID{Number: canceled})
	f.now += quota.MaxWait - 1
	f.home.Tick(f.now)
	is.Equal(f.lastVerdict(unanswered), Queued{})
	f.now++
	f.home.Tick(f.now)
	refused, is429 := f.lastVerdict(unanswered).(Refused)
	is.True(is429 && refused.Reason == ReasonAllowanceSpent)
	is.True(!f.home.AwaitsTokens())
}

// TestHedgeNeedsToken guards against second runs that the allowance has no room for.
func TestHedgeNeedsToken(t *testing.T) {
	for _, tokens := range []float64{1, 2} {
		is := is.New(t)
		f := newTestHome(4, ampleBudget)
		f.grant(f.limitAccounts(map[string]quota.Limit{"a": {Rate: 10, Burst: 10}}), tokens, time.Second)
		number := f.submit(func(r *Request) { r.Account, r.Repeatable = "a", true })
		f.now += 240 * time.Millisecond
		f.reportPace(1)
		f.home.Tick(f.now)
		_, hedged := f.lastVerdict(number).(Hedge)
		is.Equal(hedged, tokens == 2)
	}
}

// replay submits requests of accounts at given rates per second for a time, and answers each after 100 ms. It returns how many were
// placed in time and submitted, by account.
func (f *testHome) replay(d time.Duration, accounts []string, rate func(account string) float64) (placed, submitted map[string]int) {
	const step = 5 * time.Millisecond
	placed, submitted = map[string]int{}, map[string]int{}
	account, due := map[uint64]string{}, map[string]float64{}
	ends := map[uint64]time.Duration{}
	var open []uint64
	for began := f.now; f.now-began < d; f.now += step {
		for i, a := range accounts {
			if due[a] == 0 {
				due[a] = float64(i) / float64(len(accounts))
			}
			for due[a] += rate(a) * step.Seconds(); due[a] >= 1; due[a]-- {
				number := f.submit(func(r *Request) {
					r.Account, r.Goal, r.Deadline = a, f.now+600*time.Millisecond, f.now+800*time.Millisecond
				})
				account[number] = a
				submitted[a]++
				open = append(open, number)
			}
		}
		f.home.Tick(f.now)
		open = slices.DeleteFunc(open, func(number uint64) bool {
			if _, refused := f.lastVerdict(number).(Refused); refused {
				return true
			}
			if f.placedOn(number) == "" {
				return false
			}
			if ends[number] == 0 {
				ends[number] = f.now + 100*time.Millisecond
				placed[account[number]]++
			}
			if f.now < ends[number] {
				return false
			}
			f.home.RunEnded(f.now, RunEnd{ID: RequestID{Number: number}, Target: f.placedOn(number), Outcome: OutcomeAnswered, Duration: 100 * time.Millisecond})
			return true
		})
	}
	return placed, submitted
}

// TestFairShares guards against an account that sends 9 times what it usually does and gets the slots of 75 others, at 150% of the
// capacity: those are served in full up to their fair shares, and none less than a quarter as often as all.
func TestFairShares(t *testing.T) {
	for _, ageOrder := range []bool{false, true} {
		t.Run(fmt.Sprint("AgeOrder=", ageOrder), func(t *testing.T) { testFairShares(t, ageOrder) })
	}
}

func testFairShares(t *testing.T, ageOrder bool) {
	is := is.New(t)
	f := newTestHome(12, ampleBudget)
	f.home.config.AgeOrder = ageOrder
	limits := map[string]quota.Limit{}
	var accounts []string
	for i := range 76 {
		accounts = append(accounts, fmt.Sprintf("a%d", i))
		limits[accounts[i]] = quota.Limit{}
	}
	f.limitAccounts(limits)
	// 36 slots serve 360 requests a second.
	placed, submitted := f.replay(10*time.Second, accounts, func(account string) float64 {
		if account == "a7" {
			return 9 * 1.5 * 360 / 84
		}
		return 1.5 * 360 / 84
	})
	all, sent, least := 0, 0, 1.0
	for _, a := range accounts {
		all, sent = all+placed[a], sent+submitted[a]
		least = min(least, float64(placed[a])/float64(submitted[a]))
	}
	t.Logf("served %d of %d; of the hot account %d of %d; least share of an account %.2f", all, sent, placed["a7"], submitted["a7"], least)
	is.True(float64(all) >= 0.6*float64(sent))
	is.True(float64(placed["a7"]) <= 2*float64(all)/76)
	others := float64(all-placed["a7"]) / float64(sent-submitted["a7"])
	is.True(others >= 0.65)
	for _, a := range accounts {
		if a != "a7" {
			is.True(float64(placed[a])/float64(submitted[a]) >= 0.25*float64(all)/float64(sent))
		}
	}
}

// TestFairStart guards against credit for accounts without requests, and against memory for accounts that are not used.
func TestFairStart(t *testing.T) {
	is := is.New(t)
	var f fairShares
	for range 10 {
		f.charge("busy", 1)
	}
	is.Equal(f.start("idle"), 9.0)
	is.Equal(f.start("busy"), 10.0)
	for i := range 10 * sweptAccounts {
		f.charge(fmt.Sprint(i), 0.1)
		f.charge("busy", 1)
	}
	is.True(len(f.finish) <= 2*sweptAccounts)
}

// TestOrderWithoutAccounts guards against another order of the queue than that of compareQueued where requests have no account, or
// all the same one.
func TestOrderWithoutAccounts(t *testing.T) {
	for _, account := range []string{"", "a"} {
		is := is.New(t)
		f := newTestHome(1, ampleBudget)
		f.limitAccounts(map[string]quota.Limit{"b": {Rate: 1, Burst: 1}})
		for i := range 12 {
			f.submit(func(r *Request) {
				r.Account, r.Priority = account, i%2
				r.Goal += time.Duration(i*i%7) * 40 * time.Millisecond
			})
		}
		queue := f.home.queue
		is.True(len(queue) > 6)
		is.Equal(f.home.fairOrder(f.now), queue)
		is.True(slices.IsSortedFunc(queue, func(a, b *Request) int { return f.home.compareQueued(f.now, a, b) }))
	}
}
