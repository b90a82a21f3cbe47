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
	Kept        bool
	Answer      Answer
}

// Handover is everything that a sealed incarnation knows.
type Handover struct {
	Host        string
	Incarnation uint64
	// SealedAt is the sealed host's own clock.
	SealedAt time.Duration
	// Keep is how long the table is worth keeping.
	Keep    time.Duration
	Entries []SealedEntry
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
		case answered:
			s.Outcome, s.Kept, s.Answer = Ran, true, e.answer
		case tooLarge:
			s.Outcome = Ran
		case refused:
			s.Outcome = NotRun
		case running, lost:
			s.Outcome = Unknown
		}
		list = append(list, s)
	}
	return Handover{t.config.Host, t.config.Incarnation, now, t.config.Window + t.config.LongestRun, list}
}

type incarnation struct {
	host   string
	number uint64
}

type sealedTable struct {
	entries map[string]SealedEntry
	expires time.Duration
	// oldest is the issue time of the oldest grant that the table still knew everything of.
	oldest int64
}

// Sealed holds the tables of incarnations that will never run a request again. It is safe for concurrent use.
type Sealed struct {
	mu     sync.Mutex
	tables map[incarnation]sealedTable
	size   int
	limit  int
}

// SealedConfig bounds the number of entries held for others.
type SealedConfig struct {
	MaxEntries int
}

// NewSealed returns an empty holder.
func NewSealed(c SealedConfig) *Sealed {
	return &Sealed{tables: map[incarnation]sealedTable{}, limit: c.MaxEntries}
}

// Put stores the whole table of a sealed incarnation and reports whether there was room.
func (s *Sealed) Put(now time.Duration, h Handover) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	id := incarnation{h.Host, h.Incarnation}
	if _, held := s.tables[id]; held {
		return true
	}
	if s.size+len(h.Entries) > s.limit {
		return false
	}
	t := sealedTable{make(map[string]SealedEntry, len(h.Entries)), now + h.Keep, milliseconds(h.SealedAt - h.Keep)}
	for _, e := range h.Entries {
		t.entries[e.Key] = e
	}
	s.tables[id] = t
	s.size += len(h.Entries)
	return true
}

// Answer returns what is known of a key whose incarnation was sealed; held is false when its table is not here.
// A key that the table does not know was never run and never will be.
func (s *Sealed) Answer(now time.Duration, k Key, fingerprint uint64) (verdict Verdict, held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	t, held := s.tables[incarnation{k.Grant.Host, k.Grant.Incarnation}]
	if !held {
		return nil, false
	}
	e, known := t.entries[k.String()]
	switch {
	case !known && k.Grant.Issued <= t.oldest:
		return Refusal{Unknown, ReasonForgotten, 0}, true
	case !known:
		return Refusal{NotRun, ReasonSealed, 0}, true
	case e.Fingerprint != fingerprint:
		return Refusal{NotRun, ReasonDifferent, 0}, true
	case e.Kept:
		return Kept{e.Answer}, true
	case e.Outcome == NotRun:
		return Refusal{NotRun, ReasonRefused, 0}, true
	case e.Outcome == Ran:
		return Refusal{Ran, ReasonTooLarge, 0}, true
	}
	return Refusal{Unknown, ReasonInterrupted, 0}, true
}

func (s *Sealed) sweep(now time.Duration) {
	for id, t := range s.tables {
		if now > t.expires {
			s.size -= len(t.entries)
			delete(s.tables, id)
		}
	}
}
