package account

import (
	"sync"
	"time"
)

// marginShare is the part of the withdrawal limit that a host leaves for what it cannot see, such as clocks of different rates.
const marginShare = 10

// Statement says that the platform's store held nothing newer than a revision at a time. Times are on a clock of this host that
// counts suspension and that nobody sets.
type Statement struct {
	Revision int64
	AsOf     time.Duration
}

// FromCall returns what a call of this host to the store proves that returned a revision: the response may have been on its way, or
// in a buffer, for any time, but it is not older than the sending of the call.
func FromCall(sent time.Duration, revision int64) Statement { return Statement{revision, sent} }

// FromReply returns what a peer's reply proves to a request that this host sent at the given time. The field is
// StoreKnowledge.proven_age_milliseconds: the peer's proven age plus one, or 0 if the peer has proven nothing. As the peer read its
// clock after the request was sent, what it knew is not older than the sending less its age, however long the reply took.
func FromReply(sent time.Duration, revision int64, field uint32) (Statement, bool) {
	if field == 0 {
		return Statement{}, false
	}
	return Statement{revision, sent - time.Duration(field-1)*time.Millisecond}, true
}

// Proof holds the newest statement that this host has proven and that its replica of the store fulfills. It answers the load of a
// key that is withdrawn while hosts stand still, lose the store or their peers, or read messages that have lain in buffers: a host
// that goes by the age of its proof accepts no key that was withdrawn longer ago than the limit. It is safe for concurrent use.
type Proof struct {
	mu     sync.Mutex
	newest Statement
	proven bool
}

// Record adds a statement. The replica of this host must be complete up to its revision, and in force.
func (p *Proof) Record(s Statement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.proven || s.AsOf > p.newest.AsOf {
		p.newest, p.proven = s, true
	}
}

// Age returns how old the newest statement is; ok is false if nothing is proven.
func (p *Proof) Age(now time.Duration) (age time.Duration, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now - p.newest.AsOf, p.proven
}

// Tell returns the revision and the field with which a peer can use FromReply. The time must have been read after the peer's request
// arrived.
func (p *Proof) Tell(now time.Duration) (revision int64, field uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// Rounded up, as no peer may take it for newer than it is. An age of more than 49 days does not fit, and proves nothing.
	milliseconds := (max(0, now-p.newest.AsOf) + time.Millisecond - 1) / time.Millisecond
	if !p.proven || milliseconds >= 1<<32-1 {
		return 0, 0
	}
	return p.newest.Revision, uint32(milliseconds) + 1
}

// MayAccept reports whether a key that this host knows may be accepted: a key that was withdrawn longer than limit ago is not among
// those that a host knows whose proof is younger. A limit of zero means none.
func (p *Proof) MayAccept(now, limit time.Duration) bool {
	if limit <= 0 {
		return true
	}
	age, ok := p.Age(now)
	return ok && age <= limit-limit/marginShare
}

// restoreGrace is how long a host waits for a peer that has been running, after it first sees that the store has come back from an
// older copy. A host that has just started exchanges heartbeats with about twenty peers in this time.
const restoreGrace = time.Second

// Restores decides when calls to a store count that has come back from an older copy: it may have lost the newest configuration, so
// that what a call shows proves nothing until a peer has told which configuration it knows. It is safe for concurrent use.
type Restores struct {
	mu sync.Mutex
	// era is the highest era of the store that was seen, and seenAt when that was; confirmed is set once a peer has replied since.
	era       int64
	seenAt    time.Duration
	confirmed bool
}

// MayProve reports whether a call counts that has shown an era of the store. Alone means that no peers are known to exist.
func (r *Restores) MayProve(now time.Duration, era int64, alone bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if era > r.era {
		r.era, r.seenAt, r.confirmed = era, now, false
	}
	return r.era == 0 || r.confirmed || alone || now-r.seenAt >= restoreGrace
}

// PeerReplied records the reply of a peer that has proven something, to a request sent at the given time. The peer must not have a
// newer configuration.
func (r *Restores) PeerReplied(sent time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if sent >= r.seenAt {
		r.confirmed = true
	}
}
