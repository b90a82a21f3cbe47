package note

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"briarcroft/internal/platform"

	"github.com/joomcode/errorx"
)

// snapshotEvery is the number of notes between two snapshots in the store.
const snapshotEvery = 16

// rangeLimit is the most records read from the store in one call.
const rangeLimit = 128

// defaultRetryPause is the time between two attempts to settle whether a note was accepted.
const defaultRetryPause = 200 * time.Millisecond

// Archive is the chain of accepted notes as the store holds it.
type Archive struct {
	store platform.Store
	pause time.Duration
}

// ArchiveConfig names the store.
type ArchiveConfig struct {
	Store platform.Store
	// RetryPause is the time between two attempts to settle a publication; zero means the default.
	RetryPause time.Duration
}

// NewArchive returns the store's chain.
func NewArchive(c ArchiveConfig) *Archive {
	if c.RetryPause == 0 {
		c.RetryPause = defaultRetryPause
	}
	return &Archive{c.Store, c.RetryPause}
}

// CatchUp brings a chain up to the store's newest note, from a snapshot when it is far behind.
// A stale read leaves the chain as it is. Errors are platform.ErrUnavailable or ErrChain.
func (a *Archive) CatchUp(ctx context.Context, chain *Chain) error {
	last, found, err := a.store.Last(ctx, KeyPrefix)
	if err != nil || !found {
		return err
	}
	var newest Record
	if err := decode(last.Value, &newest); err != nil {
		return err
	}
	if newest.Number-chain.Number() > snapshotEvery {
		if err := a.adoptSnapshot(ctx, chain); err != nil {
			return err
		}
	}
	for chain.Number() < newest.Number {
		if err := a.adoptPage(ctx, chain); err != nil {
			return err
		}
	}
	return nil
}

func (a *Archive) adoptSnapshot(ctx context.Context, chain *Chain) error {
	entry, found, err := a.store.Get(ctx, SnapshotKey)
	if err != nil || !found {
		return err
	}
	var s Snapshot
	if err := decode(entry.Value, &s); err != nil {
		return err
	}
	_, err = chain.AdoptSnapshot(s)
	return err
}

func (a *Archive) adoptPage(ctx context.Context, chain *Chain) error {
	entries, err := a.store.Range(ctx, KeyPrefix, Key(chain.Number()+1), rangeLimit)
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return ErrChain.New("note %d is missing from the store; its read was stale, read again", chain.Number()+1)
	}
	for _, entry := range entries {
		var r Record
		if err := decode(entry.Value, &r); err != nil {
			return err
		}
		if _, err := chain.Adopt(r); err != nil {
			return err
		}
	}
	return nil
}

func decode(text []byte, target any) error {
	if err := json.Unmarshal(text, target); err != nil {
		return ErrChain.New("the store holds a value that is not a record (%v); restore the key", err)
	}
	return nil
}

// Publish accepts a note by one compare-and-swap.
// Errors are ErrInvalid, ErrConflict, ErrUnknown, ErrChain or platform.ErrUnavailable; only after ErrUnknown may the note be in force.
func (a *Archive) Publish(ctx context.Context, n Note, nonce string, now time.Time) (Record, error) {
	chain := &Chain{}
	if err := a.CatchUp(ctx, chain); err != nil {
		return Record{}, err
	}
	head, headHash, configuration := chain.Head()
	if n.Follows != head.Number {
		return Record{}, conflict(n, head)
	}
	next, err := configuration.Fold(n)
	if err != nil {
		return Record{}, err
	}
	r := Record{head.Number + 1, headHash, next.Hash(), now.UTC(), nonce, n}
	if err := a.create(ctx, r); err != nil {
		return Record{}, err
	}
	if r.Number%snapshotEvery == 0 {
		a.writeSnapshot(ctx, Snapshot{r, next})
	}
	return r, nil
}

func conflict(n Note, winner Record) error {
	return ErrConflict.New("the note follows %d but note %d by %s (%q) is the newest; read it, set Follows = %d and publish again",
		n.Follows, winner.Number, winner.Note.Operator, winner.Note.Reason, winner.Number)
}

// create writes the record's key until the store says who holds it.
// Repeating it is safe: the key is written once, and the nonce tells whose record it holds.
func (a *Archive) create(ctx context.Context, r Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return errorx.Decorate(err, "record %d", r.Number)
	}
	for {
		result, err := a.store.Create(ctx, Key(r.Number), value, 0)
		if err == nil {
			return settle(r, value, result)
		}
		select {
		case <-time.After(a.pause):
		case <-ctx.Done():
			return ErrUnknown.New("the store did not confirm note %d (%v); run status and see whether note %d has nonce %s before publishing again", r.Number, err, r.Number, r.Nonce)
		}
	}
}

func settle(r Record, value []byte, result platform.CreateResult) error {
	if result.Created || bytes.Equal(result.Existing.Value, value) {
		return nil
	}
	var winner Record
	if err := decode(result.Existing.Value, &winner); err != nil {
		return err
	}
	return conflict(r.Note, winner)
}

// writeSnapshot replaces the stored snapshot with a newer one; a failure only makes starts slower.
func (a *Archive) writeSnapshot(ctx context.Context, s Snapshot) {
	value, err := json.Marshal(s)
	if err != nil {
		return
	}
	entry, found, err := a.store.Get(ctx, SnapshotKey)
	if err != nil {
		return
	}
	var old Snapshot
	if found && (json.Unmarshal(entry.Value, &old) != nil || old.Record.Number >= s.Record.Number) {
		return
	}
	_, _ = a.store.CompareAndSwap(ctx, SnapshotKey, value, entry.Revision)
}

// Walk checks the whole chain in the store from the first note on, and returns its head and the hash of every record.
// Errors are platform.ErrUnavailable, or ErrChain together with the last record that is in order.
func (a *Archive) Walk(ctx context.Context) (Record, map[int]string, error) {
	chain := &Chain{}
	hashes := map[int]string{}
	for {
		entries, err := a.store.Range(ctx, KeyPrefix, Key(chain.Number()+1), rangeLimit)
		head, _, _ := chain.Head()
		if err != nil || len(entries) == 0 {
			return head, hashes, err
		}
		for _, entry := range entries {
			var r Record
			if err := decode(entry.Value, &r); err != nil {
				return head, hashes, err
			}
			if entry.Key != Key(r.Number) {
				return head, hashes, ErrChain.New("key %s holds note %d; restore the key", entry.Key, r.Number)
			}
			if _, err := chain.Adopt(r); err != nil {
				return head, hashes, err
			}
			head, hashes[r.Number], _ = chain.Head()
		}
	}
}
