package quota

import (
	"maps"
	"math"
	"slices"
	"time"
)

// avoidTime is for how long an elector is not asked that has not answered, while others are.
const avoidTime = time.Second

// Asked returns the elector to send the next request to; electors is not empty.
func (w *Wallet) Asked(now time.Duration, electors []string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := max(0, slices.Index(electors, w.holder))
	for i := range electors {
		host := electors[(first+i)%len(electors)]
		if at, failed := w.failedAt[host]; !failed || now-at > avoidTime {
			w.holder = host
			return host
		}
	}
	return electors[first]
}

// NotHolder records that an elector has answered that it is not the holder, so that the next one is asked.
func (w *Wallet) NotHolder(electors []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.holder = electors[(slices.Index(electors, w.holder)+1)%len(electors)]
}

// Failed records that an elector has not answered.
func (w *Wallet) Failed(now time.Duration, host string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.failedAt)
	w.failedAt[host] = now
}

// maxDemands is the largest number of accounts in one request, and maxTokens that of tokens in one grant.
const (
	maxDemands = 2000
	maxTokens  = 1 << 20
)

// Due returns the time until the next request is due; it is zero if one is due now, and false if none is expected.
func (w *Wallet) Due(now time.Duration) (time.Duration, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.purses) == 0 {
		return 0, false
	}
	due, found := now+Lifetime, false
	interval := RequestInterval
	if w.lost(now) {
		interval = lostRequestInterval
	}
	at := func(t time.Duration) { due, found = min(due, t), true }
	for account, p := range w.purses {
		p = w.purse(now, account)
		target, left := p.target(now), p.left()
		switch {
		case p.waiting > 0 && w.requestCredit(now) >= 1:
			at(max(w.requestedAt+minRequestInterval, p.spentUntil))
		case p.waiting > 0 || 2*left < target:
			at(max(w.requestedAt+interval, p.spentUntil))
		}
		for _, s := range p.stocks {
			if s.used > 0 {
				at(w.requestedAt + reportInterval)
			}
			if s.left > 0 {
				at(max(w.requestedAt+RequestInterval, s.expires-(Lifetime-renewAfter)))
			}
		}
		if target == 0 && left > 0 {
			at(w.requestedAt + RequestInterval)
		}
	}
	w.expire(now)
	return max(0, due-now), found
}

// requestCredit returns how many requests may be sent before their usual time.
func (w *Wallet) requestCredit(now time.Duration) float64 {
	return min(requestBurst, w.credit+float64(now-w.requestedAt)/float64(creditInterval))
}

// expire forgets accounts that have not been used lately.
func (w *Wallet) expire(now time.Duration) {
	for account, p := range w.purses {
		recent := now-p.demandAt < purseLifetime || len(p.stocks) > 0 || p.reserved > 0 || p.waiting > 0
		if !recent && (len(p.emergencies) == 0 || now-p.emergencies[len(p.emergencies)-1] >= w.config.Bound.Window) {
			delete(w.purses, account)
		}
	}
}

// NextRequest returns the request to send to the holder now. One without demands need not be sent.
func (w *Wallet) NextRequest(now time.Duration) Request {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.credit = max(0, w.requestCredit(now)-1)
	w.requestedAt = now
	w.sequence++
	r := Request{Sender: w.config.Host, Incarnation: w.config.Incarnation, Sequence: w.sequence, Term: w.term}
	for _, account := range slices.Sorted(maps.Keys(w.purses)) {
		if len(r.Demands) == maxDemands {
			w.purses[account].forgetReport()
			continue
		}
		if d := w.purse(now, account).nextDemand(now, w.term); d != (Demand{}) {
			d.Account = account
			r.Demands = append(r.Demands, d)
		}
	}
	if w.askedFirst == 0 && len(r.Demands) > 0 {
		w.askedFirst = now
	}
	return r
}

// nextDemand returns what to ask and report for an account. Tokens that are returned are gone from the stock, also if the request
// is lost.
func (p *purse) nextDemand(now time.Duration, term uint64) Demand {
	var d Demand
	p.forgetReport()
	target := p.target(now)
	excess := p.left() - 2*target
	for i := range p.stocks {
		s := &p.stocks[i]
		if s.term != term {
			continue
		}
		d.Used += float64(s.used)
		s.told, s.used = s.used, 0
		n := min(s.left, max(0, excess))
		if s.expires-now <= Lifetime-renewAfter {
			n = s.left
		}
		s.left, s.returned = s.left-n, n
		excess -= n
		d.Returned += float64(n)
	}
	if now >= p.spentUntil {
		wanted := target + p.waiting - p.left()
		d.Wanted = float64(max(0, wanted))
	}
	return d
}

// forgetReport forgets what the last request has reported.
func (p *purse) forgetReport() {
	for i := range p.stocks {
		p.stocks[i].told, p.stocks[i].returned = 0, 0
	}
}

// TakeBack undoes the reports of the last request, which no holder has received or will receive.
func (w *Wallet) TakeBack() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.purses {
		for i := range p.stocks {
			s := &p.stocks[i]
			s.used, s.left = s.used+s.told, s.left+s.returned
		}
		p.forgetReport()
	}
}

// Apply adds the tokens that a holder has granted in its reply to a request that was sent at a time.
func (w *Wallet) Apply(now, sent time.Duration, r Reply) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.Term != w.term {
		w.termSince = now
	}
	w.askedFirst, w.term = 0, r.Term
	for _, g := range r.Grants {
		if w.limits[g.Account].Rate <= 0 {
			continue
		}
		p := w.purse(now, g.Account)
		p.spentUntil = 0
		if g.Wait > 0 {
			p.spentUntil = now + min(g.Wait, Lifetime)
		}
		if tokens := int(min(maxTokens, math.Floor(g.Tokens))); tokens > 0 && now < sent+Lifetime {
			w.count(g.Account).Granted += int64(tokens)
			p.stocks = append(p.stocks, stock{left: tokens, expires: sent + Lifetime, term: r.Term})
		}
	}
}
