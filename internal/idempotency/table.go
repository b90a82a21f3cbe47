package idempotency

import (
	"sync"
	"time"
)

// tableFullRetryAfter is when to come back to a host whose table is full.
const tableFullRetryAfter = time.Second

// Config sets up a Table.
type Config struct {
	Host        string
	Incarnation uint64
	// GrantWindow is how long a grant lets requests begin.
	GrantWindow time.Duration
	// MaxRunTime is how long a request may take after it began.
	MaxRunTime time.Duration
	// MaxEntries and MaxKeptBytes bound the memory.
	MaxEntries   int
	MaxKeptBytes int
}

type state int

const (
	running state = iota
	completed
	notStored
	responseLost
	// refused keys were not run and never will be, so that an earlier send still on its way cannot run after a NotRun.
	refused
)

type entry struct {
	state       state
	fingerprint uint64
	response    Response
	done        chan struct{}
	expires     int64
}

// Table is one incarnation's memory of the keyed requests that it ran. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	config  Config
	entries map[string]*entry
	// keysByExpiry lists keys by the second after which they are dropped.
	keysByExpiry map[int64][]string
	sweptUntil   int64
	storedBytes  int
	sealed       bool
	runs         int
	idle         chan struct{}
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{config: c, entries: map[string]*entry{}, keysByExpiry: map[int64][]string{}, idle: make(chan struct{})}
}

// IssueGrant issues a grant on the host's own clock.
func (t *Table) IssueGrant(now time.Duration) Grant {
	return Grant{t.config.Host, t.config.Incarnation, milliseconds(now)}
}

// Begin decides on a keyed request whose key holds this incarnation's grant.
func (t *Table) Begin(now time.Duration, k Key, fingerprint uint64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if k.Grant.Host != t.config.Host || k.Grant.Incarnation != t.config.Incarnation {
		return Refusal{Unknown, ReasonOtherIncarnation, 0}
	}
	if e, known := t.entries[k.String()]; known {
		return e.decision(fingerprint)
	}
	age := milliseconds(now) - k.Grant.Issued
	switch {
	case age < 0:
		return Refusal{NotRun, ReasonGrantNotIssued, 0}
	case age > milliseconds(t.config.GrantWindow+t.config.MaxRunTime):
		return Refusal{Unknown, ReasonKeyTooOld, 0}
	case age > milliseconds(t.config.GrantWindow):
		return Refusal{NotRun, ReasonGrantExpired, 0}
	case t.sealed:
		return Refusal{NotRun, ReasonHostLeaving, 0}
	case len(t.entries) >= 2*t.config.MaxEntries:
		return Refusal{Unknown, ReasonTableFull, tableFullRetryAfter}
	case len(t.entries) >= t.config.MaxEntries:
		e := t.startRun(k, fingerprint)
		t.refuse(k, e)
		return Refusal{NotRun, ReasonTableFull, tableFullRetryAfter}
	}
	t.startRun(k, fingerprint)
	return Run{}
}

// startRun notes a run that begins now.
func (t *Table) startRun(k Key, fingerprint uint64) *entry {
	expires := (k.Grant.Issued+milliseconds(t.config.GrantWindow+t.config.MaxRunTime))/1000 + 1
	text := k.String()
	e := &entry{state: running, fingerprint: fingerprint, done: make(chan struct{}), expires: expires}
	t.entries[text] = e
	t.keysByExpiry[expires] = append(t.keysByExpiry[expires], text)
	t.runs++
	return e
}

// refuse ends a run that was never handed over. A key with a grant stays refused for good, and its caller takes a new one;
// a plain key may begin again, since callers send plain keys again unchanged.
func (t *Table) refuse(k Key, e *entry) {
	e.state = refused
	if k.Plain {
		delete(t.entries, k.String())
	}
	t.endRun(e)
}

// endRun counts a run as ended and wakes those who joined it.
func (t *Table) endRun(e *entry) {
	close(e.done)
	t.runs--
	if t.sealed && t.runs == 0 {
		close(t.idle)
	}
}

func (e *entry) decision(fingerprint uint64) Decision {
	if e.fingerprint != fingerprint {
		return Refusal{NotRun, ReasonKeyReused, 0}
	}
	switch e.state {
	case running:
		return Join{e.done}
	case completed:
		return StoredResponse{e.response}
	case notStored:
		return Refusal{Ran, ReasonResponseTooLarge, 0}
	case refused:
		return Refusal{NotRun, ReasonKeyRefused, 0}
	case responseLost:
	}
	return Refusal{Unknown, ReasonResponseLost, 0}
}

// Finish ends a run.
func (t *Table) Finish(k Key, end RunEnd) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[k.String()]
	if e == nil || e.state != running {
		return
	}
	switch end := end.(type) {
	case NotSent:
		t.refuse(k, e)
		return
	case ResponseLost:
		e.state = responseLost
	case Completed:
		t.storeResponse(e, end)
	}
	t.endRun(e)
}

func (t *Table) storeResponse(e *entry, end Completed) {
	size := end.Response.size()
	if !end.Store || t.storedBytes+size > t.config.MaxKeptBytes {
		e.state = notStored
		return
	}
	t.storedBytes += size
	e.state, e.response = completed, end.Response
}

// sweep drops entries whose grants are older than the window and the longest run.
func (t *Table) sweep(now time.Duration) {
	second := int64(now / time.Second)
	if second-t.sweptUntil > int64(len(t.keysByExpiry)) {
		t.sweepAll(second)
		return
	}
	for ; t.sweptUntil < second; t.sweptUntil++ {
		t.dropExpired(t.sweptUntil)
	}
}

func (t *Table) sweepAll(second int64) {
	for bucket := range t.keysByExpiry {
		if bucket < second {
			t.dropExpired(bucket)
		}
	}
	t.sweptUntil = second
}

func (t *Table) dropExpired(bucket int64) {
	for _, text := range t.keysByExpiry[bucket] {
		e := t.entries[text]
		if e == nil || e.expires != bucket {
			continue
		}
		if e.state == running {
			e.expires = bucket + 1 + milliseconds(t.config.MaxRunTime)/1000
			t.keysByExpiry[e.expires] = append(t.keysByExpiry[e.expires], text)
			continue
		}
		if e.state == completed {
			t.storedBytes -= e.response.size()
		}
		delete(t.entries, text)
	}
	delete(t.keysByExpiry, bucket)
}

// Size is how much a table holds.
type Size struct {
	Entries   int
	KeptBytes int
	Running   int
}

// Size returns how much the table holds.
func (t *Table) Size() Size {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Size{len(t.entries), t.storedBytes, t.runs}
}

// Seal ends the incarnation's right to run requests and returns a channel that closes when none is running.
func (t *Table) Seal() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.sealed {
		t.sealed = true
		if t.runs == 0 {
			close(t.idle)
		}
	}
	return t.idle
}
