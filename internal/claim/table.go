package claim

import (
	"sync"
	"time"
)

// tableFullRetryAfter is the retry delay sent to callers when the table is full.
const tableFullRetryAfter = time.Second

// Config configures a Table.
type Config struct {
	// Host and Incarnation identify the entry host that owns the table.
	Host        string
	Incarnation uint64
	// GrantWindow is how long after the issue of a grant requests with it may begin to run.
	GrantWindow time.Duration
	// MaxRunTime is the maximum duration of a run.
	MaxRunTime time.Duration
	// MaxEntries is the number of keys from which on new requests are refused. Refused keys are recorded as well, until
	// the table holds twice as many. Beyond that a refusal has the outcome Unknown: as it is not recorded, another send of
	// the same request may still run.
	MaxEntries int
	// MaxKeptBytes is the maximum size in bytes of all stored responses.
	MaxKeptBytes int
}

// state is the state of a key in the table.
type state int

const (
	// running means that the request is in flight.
	running state = iota
	// completed means that the request ran and its response is stored.
	completed
	// notStored means that the request ran and its response was too large to be stored.
	notStored
	// responseLost means that the request may have run and its response was not received.
	responseLost
	// refused means that the request has not run and never will under this key, which has a grant. The key stays in the
	// table so that an earlier, delayed send of the request cannot run after its caller received the outcome NotRun.
	refused
)

// entry is the record of one key.
type entry struct {
	state state
	// fingerprint is a hash of the request, which detects the use of its key for another request.
	fingerprint uint64
	response    Response
	// done is closed when the run ends, or when the request is refused.
	done chan struct{}
	// expires is the second, since the start of the host, after which the entry is dropped.
	expires int64
}

// Table records the keyed requests of one incarnation of an entry host. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	config  Config
	entries map[string]*entry
	// keysByExpiry holds the keys of the entries that expire in each second.
	keysByExpiry map[int64][]string
	// sweptUntil is the second before which all expired entries have been dropped.
	sweptUntil int64
	// storedBytes is the size of all stored responses.
	storedBytes int
	// sealed is set when no further request may begin.
	sealed bool
	// runs is the number of requests in flight.
	runs int
	// idle is closed when the table is sealed and no request is in flight.
	idle chan struct{}
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{config: c, entries: map[string]*entry{}, keysByExpiry: map[int64][]string{}, idle: make(chan struct{})}
}

// IssueGrant returns a grant of this incarnation; now is the time since its start.
func (t *Table) IssueGrant(now time.Duration) Grant {
	return Grant{t.config.Host, t.config.Incarnation, milliseconds(now)}
}

// Begin decides on a keyed request whose grant this incarnation issued; fingerprint is a hash of the request.
func (t *Table) Begin(now time.Duration, k Key, fingerprint uint64) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	if k.Grant.Host != t.config.Host || k.Grant.Incarnation != t.config.Incarnation {
		return Refusal{Unknown, ReasonOtherIncarnation, 0}
	}
	if e, found := t.entries[k.String()]; found {
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

// startRun adds an entry in the state running; it expires when the key's grant is older than GrantWindow and MaxRunTime
// together.
func (t *Table) startRun(k Key, fingerprint uint64) *entry {
	expires := (k.Grant.Issued+milliseconds(t.config.GrantWindow+t.config.MaxRunTime))/1000 + 1
	key := k.String()
	e := &entry{state: running, fingerprint: fingerprint, done: make(chan struct{}), expires: expires}
	t.entries[key] = e
	t.keysByExpiry[expires] = append(t.keysByExpiry[expires], key)
	t.runs++
	return e
}

// refuse ends the run of a request that was not sent. A key with a grant stays refused until it expires, and its caller
// must use a new key. A plain key is removed and may run later, because callers resend plain keys unchanged.
func (t *Table) refuse(k Key, e *entry) {
	e.state = refused
	if k.Plain {
		delete(t.entries, k.String())
	}
	t.endRun(e)
}

// endRun ends a run and wakes the requests that joined it.
func (t *Table) endRun(e *entry) {
	close(e.done)
	t.runs--
	if t.sealed && t.runs == 0 {
		close(t.idle)
	}
}

// decision returns the decision on a further request with the key of the entry; fingerprint is that of the request.
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

// Finish records how a run ended. It has no effect if the key is not running.
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

// storeResponse stores the response of a completed run if there is room for it.
func (t *Table) storeResponse(e *entry, end Completed) {
	size := end.Response.size()
	if !end.Store || t.storedBytes+size > t.config.MaxKeptBytes {
		e.state = notStored
		return
	}
	t.storedBytes += size
	e.state, e.response = completed, end.Response
}

// sweep drops expired entries, whose grants are older than GrantWindow and MaxRunTime together.
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

// sweepAll drops expired entries by visiting all seconds with entries, which is cheaper than visiting every second
// since the last sweep if that was long ago.
func (t *Table) sweepAll(second int64) {
	for expires := range t.keysByExpiry {
		if expires < second {
			t.dropExpired(expires)
		}
	}
	t.sweptUntil = second
}

// dropExpired drops the entries that expire in the given second, but puts off those still running by MaxRunTime.
func (t *Table) dropExpired(second int64) {
	for _, key := range t.keysByExpiry[second] {
		e := t.entries[key]
		if e == nil || e.expires != second {
			continue
		}
		if e.state == running {
			e.expires = second + 1 + milliseconds(t.config.MaxRunTime)/1000
			t.keysByExpiry[e.expires] = append(t.keysByExpiry[e.expires], key)
			continue
		}
		if e.state == completed {
			t.storedBytes -= e.response.size()
		}
		delete(t.entries, key)
	}
	delete(t.keysByExpiry, second)
}

// Size is the size of a Table.
type Size struct {
	// Entries is the number of keys.
	Entries int
	// KeptBytes is the size of all stored responses in bytes.
	KeptBytes int
	// Running is the number of requests in flight.
	Running int
}

// Size returns the current size of the table.
func (t *Table) Size() Size {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Size{len(t.entries), t.storedBytes, t.runs}
}

// Seal stops new requests from running, for a graceful stop of the host, and returns a channel that is closed when no
// request is in flight any more. Requests whose keys are recorded still get a decision.
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
