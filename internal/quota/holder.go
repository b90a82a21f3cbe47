package quota

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Demand is what a home asks for and reports of one account.
type Demand struct {
	Account string
	// Wanted is the number of tokens that the home wants beyond those that it has. Used and Returned are the numbers of leased
	// tokens that it has spent since its last request, and that it gives back.
	Wanted, Used, Returned float64
}

// Request is a home's request to the holder. Sequence rises with each request of an incarnation. Used and returned tokens are those
// of a term, that of the last reply.
type Request struct {
	Sender      string
	Incarnation uint64
	Sequence    uint64
	Term        uint64
	Demands     []Demand
}

// Reply is the holder's answer. Term identifies its term.
type Reply struct {
	Term   uint64
	Grants []Grant
}

// Grant holds the tokens that a home gets. Wait is the expected time until there are more if it gets fewer than it wants.
type Grant struct {
	Account string
	Tokens  float64
	Wait    time.Duration
}

// HolderConfig configures a Holder.
type HolderConfig struct {
	// Self and Incarnation identify this start of the host.
	Self        string
	Incarnation uint64
	Bound       Bound
}

// filledFor is the age of a term whose buckets are full.
const filledFor = time.Hour

// maxTerm is the highest number of a term. Messages carry it as a floating-point number.
const maxTerm = 1<<52 - 1

// lease is a number of tokens that a home may spend. An expired one is kept for another Lifetime, because a report of the home
// that is under way may count its tokens.
type lease struct {
	home    candidate
	tokens  float64
	expires time.Duration
	expired bool
}

// bucket is the token bucket of an account. Its level and the tokens of its leases that have not expired are at most its
// capacity together. Therefore the tokens that are spent in a time are at most the capacity and what the rate brings then,
// however long a home keeps its tokens.
type bucket struct {
	level  float64
	at     time.Duration
	leases []lease
}

// sender is what the holder knows of a home.
type sender struct {
	sequence uint64
	at       time.Duration
}

// Holder is the part that each host may have in giving out the tokens of accounts: it is an elector if it ranks first for that,
// and the holder while it is elected. It answers loads where many homes place requests of the same accounts, of which some send
// 4 to 9 times what they usually do. It is safe for concurrent use.
type Holder struct {
	mu       sync.Mutex
	config   HolderConfig
	limits   map[string]Limit
	election election
	// since is when the term began and until when it lasts as far as known.
	since, until time.Duration
	// fillUntil is that of FillUntil.
	fillUntil time.Duration
	term      uint64
	buckets   map[string]*bucket
	senders   map[candidate]sender
	sweptAt   time.Duration
	stats     HolderStats
}

// HolderStats describes a holder for operators.
type HolderStats struct {
	// Holding is set while the host is the holder, and Accounts is the number of accounts with a token bucket in use.
	Holding  bool
	Accounts int
	// Requests and Granted are the numbers of requests of homes and of tokens granted since the start; Terms is how often the
	// host has become the holder.
	Requests, Granted, Terms int64
}

// NewHolder returns a holder that is neither elected nor an elector.
func NewHolder(c HolderConfig) *Holder {
	return &Holder{
		config: c, buckets: map[string]*bucket{}, senders: map[candidate]sender{},
		election: election{self: candidate{c.Self, c.Incarnation}, votes: map[string]time.Duration{}},
	}
}

// SetLimits sets the limits by account. The caller must not change the map afterwards.
func (h *Holder) SetLimits(limits map[string]Limit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = limits
}

// FillUntil makes buckets full at the start of a term that begins before a time, because there has been no limit until now.
func (h *Holder) FillUntil(until time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fillUntil = until
}

// SetElectors sets the electors, best first, whether this host sees most hosts of the fleet, and whether all that it sees have just
// started. It must be called several times a second.
func (h *Holder) SetElectors(now time.Duration, electors []string, majority, youngFleet bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.election.setElectors(now, electors, majority, youngFleet)
	h.updateTerm(now)
}

// Vote answers a host that asks for this host's vote.
func (h *Holder) Vote(now time.Duration, host string, incarnation uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.election.vote(now, candidate{host, incarnation})
}

// Stand returns the electors to ask for their votes, and false if this host must not ask now.
func (h *Holder) Stand(now time.Duration) ([]string, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	electors, ok := h.election.stand(now)
	h.updateTerm(now)
	return electors, ok
}

// RecordVote records the vote of an elector that was asked at a time.
func (h *Holder) RecordVote(now, asked time.Duration, elector string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.election.recordVote(asked, elector)
	h.updateTerm(now)
}

// EndRound must be called when all electors that Stand returned have answered or failed to.
func (h *Holder) EndRound(now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.election.concede(now)
	h.updateTerm(now)
}

// updateTerm extends the term, or begins a new one with empty buckets if the last one has ended: another host may have been the
// holder meanwhile.
func (h *Holder) updateTerm(now time.Duration) {
	until := h.election.heldUntil()
	if now < until && now >= h.until {
		h.since = now
		if now < h.fillUntil {
			h.since = now - filledFor
		}
		h.stats.Terms++
		h.term = xxhash.Sum64String(fmt.Sprint(h.config.Self, "\x00", h.config.Incarnation, "\x00", h.stats.Terms)) & maxTerm
		clear(h.buckets)
		clear(h.senders)
	}
	h.until = until
}

// Holding reports whether this host is the holder.
func (h *Holder) Holding(now time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now < h.until
}

// Stats returns the state for operators.
func (h *Holder) Stats(now time.Duration) HolderStats {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.stats
	s.Holding = now < h.until
	if s.Holding {
		s.Accounts = len(h.buckets)
	}
	return s
}

// Serve answers the request of a home; it returns false if this host is not the holder.
func (h *Holder) Serve(now time.Duration, r Request) (Reply, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now >= h.until {
		return Reply{}, false
	}
	home := candidate{r.Sender, r.Incarnation}
	if known, found := h.senders[home]; found && r.Sequence <= known.sequence {
		// A later request has arrived before, so that this one's report is not true any more.
		return Reply{Term: h.term}, true
	}
	h.senders[home] = sender{r.Sequence, now}
	h.stats.Requests++
	h.sweep(now)
	grants := make([]Grant, 0, len(r.Demands))
	for _, d := range r.Demands {
		if r.Term != h.term {
			d.Used, d.Returned = 0, 0
		}
		if g := h.serve(now, home, d); d.Wanted > 0 {
			grants = append(grants, g)
		}
	}
	return Reply{h.term, grants}, true
}

// serve handles the demand of a home for one account.
func (h *Holder) serve(now time.Duration, home candidate, d Demand) Grant {
	limit, found := h.limits[d.Account]
	if !found || limit.Rate <= 0 {
		// The home knows an older or newer configuration, so that the limit is not in force on all hosts.
		return Grant{Account: d.Account, Tokens: math.Floor(d.Wanted)}
	}
	capacity := h.config.Bound.capacity(limit)
	b := h.buckets[d.Account]
	if b == nil {
		// A bucket that is not known has filled up since the term began.
		b = &bucket{at: h.since}
		h.buckets[d.Account] = b
	}
	b.refill(now, limit.Rate, capacity)
	b.settle(home, d.Used)
	b.level = min(b.level+b.settle(home, d.Returned), max(0, capacity-b.outstanding()))
	g := Grant{Account: d.Account}
	if !(d.Wanted >= 1) {
		return g
	}
	g.Tokens = math.Floor(min(d.Wanted, b.level) + 1e-9)
	if g.Tokens > 0 {
		b.level = max(0, b.level-g.Tokens)
		b.leases = append(b.leases, lease{home: home, tokens: g.Tokens, expires: now + Lifetime})
		h.stats.Granted += int64(g.Tokens)
	}
	if g.Tokens < math.Floor(d.Wanted) {
		g.Wait = b.wait(now, limit.Rate, capacity)
	}
	return g
}

// outstanding returns the number of leased tokens that may be spent yet.
func (b *bucket) outstanding() float64 {
	sum := 0.0
	for _, l := range b.leases {
		if !l.expired {
			sum += l.tokens
		}
	}
	return sum
}

// refill adds the tokens that the rate has brought and lets leases expire. Leases are in the order of their expiry.
func (b *bucket) refill(now time.Duration, rate, capacity float64) {
	outstanding := b.outstanding()
	accrue := func(until time.Duration) {
		if until > b.at {
			b.level = min(b.level+rate*(until-b.at).Seconds(), max(0, capacity-outstanding))
			b.at = until
		}
	}
	kept := b.leases[:0]
	for _, l := range b.leases {
		if !l.expired && l.expires <= now {
			accrue(l.expires)
			outstanding -= l.tokens
			l.expired = true
		}
		if l.expires+Lifetime > now && l.tokens > 0 {
			kept = append(kept, l)
		}
	}
	b.leases = kept
	accrue(now)
	b.level = min(b.level, max(0, capacity-outstanding))
}

// settle takes tokens from the oldest leases of a home and returns how many of them had not expired.
func (b *bucket) settle(home candidate, tokens float64) float64 {
	live := 0.0
	for i := range b.leases {
		l := &b.leases[i]
		if l.home != home || !(tokens > 0) {
			continue
		}
		n := min(tokens, l.tokens)
		tokens -= n
		l.tokens -= n
		if !l.expired {
			live += n
		}
	}
	return live
}

// wait returns the expected time until the bucket holds a token.
func (b *bucket) wait(now time.Duration, rate, capacity float64) time.Duration {
	need := 1 - b.level
	if need <= 0 {
		return 0
	}
	if b.outstanding()+1 <= capacity {
		return time.Duration(math.Ceil(need / rate * float64(time.Second)))
	}
	for _, l := range b.leases {
		if !l.expired && l.tokens > 0 {
			return l.expires - now
		}
	}
	return Lifetime
}

// sweepInterval is the time between two sweeps, and senderLifetime how long a home is known that asks for nothing.
const (
	sweepInterval  = time.Second
	senderLifetime = time.Minute
)

// sweep forgets accounts that have not been used lately: a bucket that is full is like one that is not known once the term has
// lasted for the time that it takes to fill.
func (h *Holder) sweep(now time.Duration) {
	if now-h.sweptAt < sweepInterval {
		return
	}
	h.sweptAt = now
	for account, b := range h.buckets {
		limit := h.limits[account]
		capacity := h.config.Bound.capacity(limit)
		if limit.Rate > 0 {
			b.refill(now, limit.Rate, capacity)
		}
		filled := (now-h.since).Seconds()*limit.Rate >= capacity
		if limit.Rate <= 0 || len(b.leases) == 0 && b.level >= capacity && filled {
			delete(h.buckets, account)
		}
	}
	for home, s := range h.senders {
		if now-s.at > senderLifetime {
			delete(h.senders, home)
		}
	}
}
