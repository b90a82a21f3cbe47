package quota

import (
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// stockTime is for how much of the recent demand a home keeps tokens, so that requests rarely wait for one.
	stockTime = 300 * time.Millisecond
	// demandDecay is the time constant of the average of the demand.
	demandDecay = 3 * time.Second
	// minStockDemand is the demand in requests per second from which a home keeps a token at all.
	minStockDemand = 0.15
	// renewAfter is the age from which the tokens of a lease are returned and requested anew.
	renewAfter = Lifetime * 3 / 4
	// RequestInterval is the usual time between two requests to the holder, and minRequestInterval that while requests wait for
	// tokens. The latter are limited to requestBurst at once, and to one in creditInterval over longer times.
	RequestInterval    = 200 * time.Millisecond
	minRequestInterval = 5 * time.Millisecond
	creditInterval     = 70 * time.Millisecond
	requestBurst       = 20
	// lostRequestInterval replaces RequestInterval while no holder answers.
	lostRequestInterval = 50 * time.Millisecond
	// reportInterval is the time after which spent tokens are reported if nothing else is due.
	reportInterval = 500 * time.Millisecond
	// CallTimeout is how long an answer of the holder is waited for.
	CallTimeout = 150 * time.Millisecond
	// holderSilence is the time without a reply after which the holder counts as lost.
	holderSilence = 300 * time.Millisecond
	// MaxWait is how long a request waits for its first token.
	MaxWait = 250 * time.Millisecond
	// lostWait is how long after its first unanswered request a home lets requests wait for a new holder, which is longer than an
	// election takes. After that it refuses them at once.
	lostWait = 1200 * time.Millisecond
	// lostRetryDelay is the Retry-After time while no holder answers.
	lostRetryDelay = 500 * time.Millisecond
	// maxReturn is the longest Retry-After time, unless the next token takes longer.
	maxReturn = 2 * time.Second
	// FirstElection is for how long requests need no tokens when the first limits come into force. Homes learn of them within 2 s,
	// and an election takes a little longer than youngDelay.
	FirstElection = 2 * time.Second
	// purseLifetime is how long an account is remembered that is not used.
	purseLifetime = 10 * time.Second
)

// Kind says what a Token is.
type Kind int

// Kinds of tokens.
const (
	// KindNone is the zero value: no token is needed, as the account has no limit.
	KindNone Kind = iota
	KindLeased
	KindEmergency
)

// Token allows one run of a request. It is taken first, and then either spent when the run is placed or given back.
type Token struct {
	Account string
	Kind    Kind
	// Expires is until when a leased token may be spent.
	Expires time.Duration
}

// Usable reports whether the token may be spent now.
func (t Token) Usable(now time.Duration) bool { return t.Kind != KindLeased || now < t.Expires }

// Answer is the result of Take.
type Answer int

// Results of Take. Waiting means that the holder has been asked, or will be, so that Take should be called again when it has
// answered.
const (
	Taken Answer = iota
	Waiting
	Spent
)

// stock is what is left of one lease. used is the number of tokens spent and not reported. Those that the last request has
// reported and returned are told and returned. Term is that of the holder that granted it.
type stock struct {
	left, used, told, returned int
	term                       uint64
	expires                    time.Duration
}

// purse holds the tokens of one account.
type purse struct {
	stocks []stock
	// demand is the average number of requests per second, as of demandAt.
	demand   float64
	demandAt time.Duration
	// waiting is the number of requests that wait for a token.
	waiting int
	// spentUntil is the time before which the holder expects to have no token, and promised the last time at which a refused
	// caller was told to return.
	spentUntil, promised time.Duration
	// emergencies holds the times at which emergency tokens were spent, and reserved the number of those taken.
	emergencies []time.Duration
	reserved    int
}

// WalletConfig configures a Wallet.
type WalletConfig struct {
	Host        string
	Incarnation uint64
	Bound       Bound
	// Start is the time of the host's start. What it spent before that is not known, so that it spends no emergency tokens in the
	// first window.
	Start time.Duration
}

// Wallet holds the tokens that a host has leased for the services that it is a home of. It answers loads of thousands of accounts
// that send a few requests a second each, and some that send many times their allowance. It is safe for concurrent use.
type Wallet struct {
	mu     sync.Mutex
	config WalletConfig
	limits map[string]Limit
	// allowUntil is the time until which no limit is in force; see AllowUntil.
	allowUntil time.Duration
	// meanRate is the mean rate of the limits that have one.
	meanRate float64
	// place returns the number of hosts and this host's position for an account; see Bound.emergencyTokens.
	place  func(account string) (hosts, position int)
	purses map[string]*purse
	counts map[string]*Counts
	// sequence is that of the last request, which was sent at requestedAt. credit is the number of requests that may be sent
	// before their usual time.
	sequence    uint64
	requestedAt time.Duration
	// term is that of the last reply. Only tokens of this term are reported and returned: another holder has no lease for the
	// others, and would take them from later leases.
	term   uint64
	credit float64
	// termSince is when this host noticed that term. The buckets of a new holder are empty.
	termSince time.Duration
	// holder is the elector that has answered as the holder last or is asked next, and failedAt when each elector last did not
	// answer.
	holder   string
	failedAt map[string]time.Duration
	// askedFirst is when the first request was sent since the last reply; zero if there is none.
	askedFirst time.Duration
}

// NewWallet returns a wallet without tokens or limits.
func NewWallet(c WalletConfig) *Wallet {
	return &Wallet{config: c, purses: map[string]*purse{}, counts: map[string]*Counts{}, credit: requestBurst, failedAt: map[string]time.Duration{}, place: func(string) (int, int) { return 1, 0 }}
}

// SetLimits sets the limits by account. The caller must not change the map afterwards.
func (w *Wallet) SetLimits(limits map[string]Limit) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limits, w.meanRate = limits, 0
	limited := 0
	for _, l := range limits {
		if l.Rate > 0 {
			w.meanRate += l.Rate
			limited++
		}
	}
	w.meanRate /= float64(max(1, limited))
}

// AllowUntil makes all requests need no token until a time, because there has been no limit until now and no holder is elected yet.
func (w *Wallet) AllowUntil(until time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.allowUntil = until
}

// SetPlace sets the function that returns, for an account, the number of hosts of the fleet and this host's position among them.
func (w *Wallet) SetPlace(place func(account string) (hosts, position int)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.place = place
}

// Weight returns the weight of an account among those whose requests wait: its rate, or the mean rate if it has no limit.
func (w *Wallet) Weight(account string) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.limits[account].Rate > 0:
		return w.limits[account].Rate
	case w.meanRate > 0:
		return w.meanRate
	}
	return 1
}

// Take takes a token for one run of a request of an account. Waited is set if the result of the last call for the run was Waiting,
// and last if the request waits no longer, so that this result is another one. RetryAfter is set if the result is Spent.
func (w *Wallet) Take(now time.Duration, account string, waited, last bool) (token Token, answer Answer, retryAfter time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit := w.limits[account]
	if limit.Rate <= 0 || now < w.allowUntil {
		return Token{}, Taken, 0
	}
	p := w.purse(now, account)
	if waited {
		p.waiting = max(0, p.waiting-1)
	} else {
		p.addDemand(now)
	}
	if token, found := p.take(now, account); found {
		return token, Taken, 0
	}
	lost := w.lost(now)
	young := now-w.termSince < w.config.Bound.Window
	switch {
	case (lost || last || young && now < p.spentUntil) && w.takeEmergency(now, account, p, limit):
		return Token{Account: account, Kind: KindEmergency}, Taken, 0
	case now < p.spentUntil:
	case !last && !(lost && now-w.askedFirst > lostWait):
		p.waiting++
		return Token{}, Waiting, 0
	}
	return Token{}, Spent, w.refuse(now, account, p, limit)
}

// StopWaiting records that a request waits no longer for which the last result of Take was Waiting.
func (w *Wallet) StopWaiting(account string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.purses[account]; p != nil {
		p.waiting = max(0, p.waiting-1)
	}
}

// TryTake takes a leased token if there is one to spare, for a run that need not be.
func (w *Wallet) TryTake(now time.Duration, account string) (Token, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.limits[account].Rate <= 0 || now < w.allowUntil {
		return Token{}, true
	}
	return w.purse(now, account).take(now, account)
}

// Give gives back a token that was not spent.
func (w *Wallet) Give(t Token) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.purses[t.Account]
	if p == nil {
		return
	}
	switch t.Kind {
	case KindEmergency:
		p.reserved--
	case KindLeased:
		if s := p.find(t); s != nil {
			s.left++
		}
	}
}

// Spend records that a run has been placed with a token.
func (w *Wallet) Spend(now time.Duration, t Token) {
	if t.Kind == KindNone {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.purse(now, t.Account)
	c := w.count(t.Account)
	c.Spent++
	if t.Kind == KindEmergency {
		c.Emergency++
		p.reserved--
		p.emergencies = append(p.emergencies, now)
	} else if s := p.find(t); s != nil {
		s.used++
	}
}

// Unspend gives back the token of a run that certainly did not run. A leased one whose spending was reported is lost.
func (w *Wallet) Unspend(t Token) {
	if t.Kind == KindNone {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.purses[t.Account]
	if p == nil {
		return
	}
	if t.Kind == KindEmergency {
		if last := len(p.emergencies) - 1; last >= 0 {
			p.emergencies = p.emergencies[:last]
		}
	} else if s := p.find(t); s != nil && s.used > 0 {
		s.used--
		s.left++
	}
}

// purse returns the purse of an account without tokens that have expired.
func (w *Wallet) purse(now time.Duration, account string) *purse {
	p := w.purses[account]
	if p == nil {
		p = &purse{demandAt: now}
		w.purses[account] = p
	}
	p.stocks = slices.DeleteFunc(p.stocks, func(s stock) bool { return now >= s.expires })
	return p
}

// take takes the leased token that expires first.
func (p *purse) take(now time.Duration, account string) (Token, bool) {
	for i := range p.stocks {
		if s := &p.stocks[i]; s.left > 0 && now < s.expires {
			s.left--
			return Token{account, KindLeased, s.expires}, true
		}
	}
	return Token{}, false
}

// find returns the stock that a token was taken from, or nil if it has expired.
func (p *purse) find(t Token) *stock {
	for i := range p.stocks {
		if p.stocks[i].expires == t.Expires {
			return &p.stocks[i]
		}
	}
	return nil
}

func (p *purse) left() int {
	sum := 0
	for _, s := range p.stocks {
		sum += s.left
	}
	return sum
}

// addDemand counts one request in the average of the demand.
func (p *purse) addDemand(now time.Duration) {
	p.demand = p.demandNow(now) + 1/demandDecay.Seconds()
	p.demandAt = now
}

func (p *purse) demandNow(now time.Duration) float64 {
	return p.demand * math.Exp(-(now-p.demandAt).Seconds()/demandDecay.Seconds())
}

// target returns how many tokens the home wants to have.
func (p *purse) target(now time.Duration) int {
	demand := p.demandNow(now)
	if demand < minStockDemand {
		return 0
	}
	return int(math.Ceil(demand * stockTime.Seconds()))
}

// takeEmergency takes one of the tokens that this host may spend without the holder in a window.
func (w *Wallet) takeEmergency(now time.Duration, account string, p *purse, limit Limit) bool {
	if now-w.config.Start < w.config.Bound.Window {
		return false
	}
	p.emergencies = slices.DeleteFunc(p.emergencies, func(at time.Duration) bool { return now-at >= w.config.Bound.Window })
	hosts, position := w.place(account)
	if len(p.emergencies)+p.reserved >= w.config.Bound.emergencyTokens(limit, hosts, position) {
		return false
	}
	p.reserved++
	return true
}

// refuse counts a refusal and returns when the caller should return. Callers that are refused together are told different times,
// at the rate at which tokens come, and the earliest ones again after maxReturn: most callers do not wait longer.
func (w *Wallet) refuse(now time.Duration, account string, p *purse, limit Limit) time.Duration {
	w.count(account).Refused++
	room := p.spentUntil
	switch {
	case w.lost(now):
		room = now + lostRetryDelay
	case room <= now:
		room = now + RequestInterval
	}
	p.promised = max(room, p.promised)
	if p.promised-now > maxReturn {
		p.promised = room
	}
	retryAfter := p.promised - now
	p.promised += time.Duration(float64(time.Second) / limit.Rate)
	return retryAfter
}
