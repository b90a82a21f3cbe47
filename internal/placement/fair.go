package placement

import (
	"cmp"
	"slices"
	"time"
)

// fairShares divides the slots of a service among accounts whose requests wait, in proportion to their weights, by start-time fair
// queuing: each run advances the account's finish time by its expected duration over the weight, and the account that would
// finish first goes first. It answers the load of one account that sends 9 times what it usually does beside 75 others.
type fairShares struct {
	// virtual is the start time of the last run, on a clock that advances with the work that is done.
	virtual float64
	// finish holds the finish times of accounts that are later than virtual, or were so lately.
	finish map[string]float64
}

// sweptAccounts is the number of accounts above which those with a finish time in the past are forgotten.
const sweptAccounts = 256

// start returns the start time of an account's next run. One that had no requests for a time has no advantage from that.
func (f *fairShares) start(account string) float64 { return max(f.virtual, f.finish[account]) }

// charge records a run of an account that takes work/weight.
func (f *fairShares) charge(account string, share float64) {
	if f.finish == nil {
		f.finish = map[string]float64{}
	}
	f.virtual = f.start(account)
	f.finish[account] = f.virtual + share
	if len(f.finish) <= sweptAccounts {
		return
	}
	for other, at := range f.finish {
		if at <= f.virtual {
			delete(f.finish, other)
		}
	}
}

// work returns how much work a run of the request is, in seconds.
func (h *Home) work(r *Request) float64 { return max(time.Millisecond, h.serviceTime(r)).Seconds() }

// chargeAccount charges the account of a request for a run. Requests without an account count like those of one while there are
// others.
func (h *Home) chargeAccount(r *Request) {
	if h.config.Allowances != nil && (r.Account != "" || len(h.fair.finish) > 0) {
		h.fair.charge(r.Account, h.work(r)/h.config.Allowances.Weight(r.Account))
	}
}

// fairAccount is the account of queued requests: its weight, and the start time of the next one.
type fairAccount struct{ weight, start float64 }

// setFairStarts sets the start times of queued requests, and of a new one if it is not nil, in the order in which each account's
// requests are in the queue. It returns false if there is only one account, so that start times do not matter.
func (h *Home) setFairStarts(added *Request) bool {
	if h.config.Allowances == nil || len(h.queue) == 0 {
		return false
	}
	several := added != nil && added.Account != h.queue[0].Account
	for _, r := range h.queue {
		several = several || r.Account != h.queue[0].Account
	}
	if !several {
		return false
	}
	if h.fairAccounts == nil {
		h.fairAccounts = map[string]fairAccount{}
	}
	accounts := h.fairAccounts
	clear(accounts)
	set := func(r *Request) {
		account, found := accounts[r.Account]
		if !found {
			account = fairAccount{h.config.Allowances.Weight(r.Account), h.fair.start(r.Account)}
		}
		r.fairStart = account.start
		account.start += h.work(r) / account.weight
		accounts[r.Account] = account
	}
	for _, r := range h.queue {
		set(r)
	}
	if added != nil {
		set(added)
	}
	return true
}

// fairOrder returns the queue, which has been sorted by compareQueued, in the order of the fair shares of accounts. It keeps the order
// by priority, that of requests in time before late ones, and that of the requests of each account. The result is valid until the
// next call.
func (h *Home) fairOrder(now time.Duration) []*Request {
	if !h.setFairStarts(nil) {
		return h.queue
	}
	h.fairBuffer = append(h.fairBuffer[:0], h.queue...)
	for _, r := range h.fairBuffer {
		if h.config.AgeOrder {
			r.fairRank = h.ageRank(now, r)
		} else {
			r.fairRank = h.lateRank(now, r)
		}
	}
	slices.SortStableFunc(h.fairBuffer, func(a, b *Request) int {
		lateness, fairness := cmp.Compare(a.fairRank, b.fairRank), cmp.Compare(a.fairStart, b.fairStart)
		if h.config.AgeOrder {
			return cmp.Or(lateness, comparePriority(a, b), fairness)
		}
		return cmp.Or(comparePriority(a, b), lateness, fairness)
	})
	return h.fairBuffer
}

// fairlyBefore reports whether a queued request is placed before another one of the same lateness, after setFairStarts.
func fairlyBefore(a, b *Request) bool {
	return comparePriority(a, b) < 0 || a.fairStart <= b.fairStart
}
