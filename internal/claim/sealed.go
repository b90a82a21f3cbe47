package claim

import (
	"sync"
	"time"
)

// SealedEntry is the record of one key in the table of a sealed incarnation, that is, a process of an entry host that
// has called Table.Seal and starts no further runs of keyed requests.
type SealedEntry struct {
	Key         string
	Fingerprint uint64
	Outcome     Outcome
	// HasResponse reports whether Response is set, which implies the outcome Ran.
	HasResponse bool
	Response    Response
}

// ExportedTable is the whole table of a sealed incarnation, as a stopping host sends it to peers.
type ExportedTable struct {
	Host        string
	Incarnation uint64
	// SealedAt is the time of the export since the start of the sealed host.
	SealedAt time.Duration
	// Retention is how long the receiver must keep the table. After that, the grants of the sealed incarnation are so old
	// that its own table would have dropped their keys too.
	Retention time.Duration
	Entries   []SealedEntry
}

// Export returns the whole table. It is called after the channel that Seal returned is closed, or when waiting for that
// takes too long; a request that is still running then is exported with the outcome Unknown.
func (t *Table) Export(now time.Duration) ExportedTable {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep(now)
	entries := make([]SealedEntry, 0, len(t.entries))
	for key, e := range t.entries {
		s := SealedEntry{Key: key, Fingerprint: e.fingerprint}
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
		entries = append(entries, s)
	}
	return ExportedTable{t.config.Host, t.config.Incarnation, now, t.config.GrantWindow + t.config.MaxRunTime, entries}
}

// incarnation identifies one incarnation of an entry host.
type incarnation struct {
	host   string
	number uint64
}

// sealedTable is the table that a sealed incarnation sent to this host.
type sealedTable struct {
	entries map[string]SealedEntry
	expires time.Duration
	// oldestGrant is an issue time on the clock of the sealed host. The table may already have dropped keys of grants
	// issued then or earlier, and is complete for later ones.
	oldestGrant int64
}

// SealedTables holds the tables that sealed incarnations of other hosts have sent. It is safe for concurrent use.
type SealedTables struct {
	mu     sync.Mutex
	tables map[incarnation]sealedTable
	// entries is the number of entries of all tables.
	entries    int
	maxEntries int
}

// SealedTablesConfig configures SealedTables.
type SealedTablesConfig struct {
	// MaxEntries is the maximum number of entries of all tables.
	MaxEntries int
}

// NewSealedTables returns a SealedTables without tables.
func NewSealedTables(c SealedTablesConfig) *SealedTables {
	return &SealedTables{tables: map[incarnation]sealedTable{}, maxEntries: c.MaxEntries}
}

// Add stores the table of a sealed incarnation, unless it is stored already. It returns false if there is no room for it.
func (s *SealedTables) Add(now time.Duration, h ExportedTable) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	id := incarnation{h.Host, h.Incarnation}
	if _, found := s.tables[id]; found {
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

// Lookup decides on a request whose grant was issued by a sealed incarnation; found is false if its table is not held
// here. A key that is missing from the table and not too old has never run and never will.
func (s *SealedTables) Lookup(now time.Duration, k Key, fingerprint uint64) (decision Decision, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	t, found := s.tables[incarnation{k.Grant.Host, k.Grant.Incarnation}]
	if !found {
		return nil, false
	}
	e, hasEntry := t.entries[k.String()]
	switch {
	case !hasEntry && k.Grant.Issued <= t.oldestGrant:
		return Refusal{Unknown, ReasonKeyTooOld, 0}, true
	case !hasEntry:
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

// sweep removes expired tables.
func (s *SealedTables) sweep(now time.Duration) {
	for id, t := range s.tables {
		if now > t.expires {
			s.entries -= len(t.entries)
			delete(s.tables, id)
		}
	}
}
