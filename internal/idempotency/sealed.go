package idempotency

import (
	"sync"
	"time"
)

// SealedEntry is what a sealed incarnation knows of one key.
type SealedEntry struct {
	Key         string
	Fingerprint uint64
	Outcome     Outcome
	HasResponse bool
	Response    Response
}

// Handover is everything that a sealed incarnation knows.
type Handover struct {
	Host        string
	Incarnation uint64
	// SealedAt is the sealed host's own clock.
	SealedAt time.Duration
	// Retention is how long the table is worth keeping.
	Retention time.Duration
	Entries   []SealedEntry
}

// Export returns everything the table knows; call it after the channel of Seal closed.
func (t *Table) Export(now time.Duration) Handover {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	list := make([]SealedEntry, 0, len(t.entries))
	for text, e := range t.entries {
		s := SealedEntry{Key: text, Fingerprint: e.fingerprint}
		switch e.state {
		case completed:
			s.Outcome, s.HasResponse, s.Response = Ran, true, e.response
		case notStored:
			s.Outcome = Ran
		case refused:
			s.Outcome = NotRun
		case running, responseLost:
			s.Outcome = Unknown
		}
		list = append(list, s)
	}
	return Handover{t.config.Host, t.config.Incarnation, now, t.config.GrantWindow + t.config.MaxRunTime, list}
}

type incarnation struct {
	host   string
	number uint64
}

type sealedTable struct {
	entries map[string]SealedEntry
	expires time.Duration
	// oldestGrant is the issue time of the oldest grant that the table still knew everything of.
	oldestGrant int64
}

// SealedTables holds the tables of incarnations that will never run a request again. It is safe for concurrent use.
type SealedTables struct {
	mu         sync.Mutex
	tables     map[incarnation]sealedTable
	entries    int
	maxEntries int
}

// SealedTablesConfig bounds the number of entries held for others.
type SealedTablesConfig struct {
	MaxEntries int
}

// NewSealedTables returns an empty holder.
func NewSealedTables(c SealedTablesConfig) *SealedTables {
	return &SealedTables{tables: map[incarnation]sealedTable{}, maxEntries: c.MaxEntries}
}

// Add stores the whole table of a sealed incarnation and reports whether there was room.
func (s *SealedTables) Add(now time.Duration, h Handover) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	id := incarnation{h.Host, h.Incarnation}
	if _, held := s.tables[id]; held {
		return true
	}
	if s.entries+len(h.Entries) > s.maxEntries {
		return false
	}
	t := sealedTable{make(map[string]SealedEntry, len(h.Entries)), now + h.Retention, milliseconds(h.SealedAt - h.Retention)}
	for _, e := range h.Entries {
		t.entries[e.Key] = e
	}
	s.tables[id] = t
	s.entries += len(h.Entries)
	return true
}

// Lookup returns what is known of a key whose incarnation was sealed; held is false when its table is not here.
// A key that the table does not know was never run and never will be.
func (s *SealedTables) Lookup(now time.Duration, k Key, fingerprint uint64) (verdict Decision, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	t, held := s.tables[incarnation{k.Grant.Host, k.Grant.Incarnation}]
	if !held {
		return nil, false
	}
	e, known := t.entries[k.String()]
	switch {
	case !known && k.Grant.Issued <= t.oldestGrant:
		return Refusal{Unknown, ReasonKeyTooOld, 0}, true
	case !known:
		return Refusal{NotRun, ReasonHostLeaving, 0}, true
	case e.Fingerprint != fingerprint:
		return Refusal{NotRun, ReasonKeyReused, 0}, true
	case e.HasResponse:
		return StoredResponse{e.Response}, true
	case e.Outcome == NotRun:
		return Refusal{NotRun, ReasonKeyRefused, 0}, true
	case e.Outcome == Ran:
		return Refusal{Ran, ReasonResponseTooLarge, 0}, true
	}
	return Refusal{Unknown, ReasonResponseLost, 0}, true
}

func (s *SealedTables) sweep(now time.Duration) {
	for id, t := range s.tables {
		if now > t.expires {
			s.entries -= len(t.entries)
			delete(s.tables, id)
		}
	}
}
