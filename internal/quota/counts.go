package quota

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Counts are the counters of one account on one host.
type Counts struct {
	Account                            string
	Granted, Spent, Emergency, Refused int64
}

func (w *Wallet) count(account string) *Counts {
	c := w.counts[account]
	if c == nil {
		c = &Counts{Account: account}
		w.counts[account] = c
	}
	return c
}

// Refusals returns the counters of up to most accounts, those with the most refusals first.
func (w *Wallet) Refusals(most int) []Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	all := make([]Counts, 0, len(w.counts))
	for _, c := range w.counts {
		all = append(all, *c)
	}
	slices.SortFunc(all, compareCounts)
	return all[:min(most, len(all))]
}

// AccountState is what a host knows of the allowance of one account.
type AccountState struct {
	Counts
	// Known is set if the host's configuration limits the account.
	Known bool
	Limit
}

// Account returns the state of one account.
func (w *Wallet) Account(account string) AccountState {
	w.mu.Lock()
	defer w.mu.Unlock()
	limit, known := w.limits[account]
	s := AccountState{Counts: Counts{Account: account}, Known: known, Limit: limit}
	if c := w.counts[account]; c != nil {
		s.Counts = *c
	}
	return s
}

// Lost reports whether requests are waiting for a holder that does not answer.
func (w *Wallet) Lost(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lost(now)
}

func (w *Wallet) lost(now time.Duration) bool {
	return w.askedFirst > 0 && now-w.askedFirst > holderSilence
}

// compareCounts orders counters from many refusals to few.
func compareCounts(a, b Counts) int {
	return cmp.Or(cmp.Compare(b.Refused, a.Refused), cmp.Compare(b.Spent, a.Spent), strings.Compare(a.Account, b.Account))
}
