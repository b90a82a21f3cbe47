package note

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"briarcroft/internal/platform"

	"github.com/joomcode/errorx"
)

// snapshotInterval is the number of notes after which the snapshot in the store is replaced.
const snapshotInterval = 16

// rangePageSize is the maximum number of records that one call reads from the store.
const rangePageSize = 128

// defaultRetryPause is the time between two attempts to write a record that the store has not confirmed.
const defaultRetryPause = 200 * time.Millisecond

// Archive reads, extends and verifies the chain of published notes in the store.
type Archive struct {
	store      platform.Store
	retryPause time.Duration
}

// ArchiveConfig configures an Archive.
type ArchiveConfig struct {
	Store platform.Store
	// RetryPause is the time between two attempts to write a record that the store has not confirmed; zero means the
	// default.
	RetryPause time.Duration
}

// NewArchive returns the archive in a store.
func NewArchive(c ArchiveConfig) *Archive {
	if c.RetryPause == 0 {
		c.RetryPause = defaultRetryPause
	}
	return &Archive{c.Store, c.RetryPause}
}

// CatchUp applies the store's newer records to a chain, starting from the snapshot if the chain is far behind.
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
	if newest.Number-chain.Number() > snapshotInterval {
		if err := a.applySnapshot(ctx, chain); err != nil {
			return err
		}
	}
	for chain.Number() < newest.Number {
		if err := a.applyPage(ctx, chain); err != nil {
			return err
		}
	}
	return nil
}

func (a *Archive) applySnapshot(ctx context.Context, chain *Chain) error {
	entry, found, err := a.store.Get(ctx, SnapshotKey)
	if err != nil || !found {
		return err
	}
	var s Snapshot
	if err := decode(entry.Value, &s); err != nil {
		return err
	}
	_, err = chain.ApplySnapshot(s)
	return err
}

func (a *Archive) applyPage(ctx context.Context, chain *Chain) error {
	entries, err := a.store.Range(ctx, KeyPrefix, Key(chain.Number()+1), rangePageSize)
	if err != nil {
		return err
	}
	if len(entries) == 0 {
		return ErrChain.New("note %d is missing from what the store returned; that read was stale, read again", chain.Number()+1)
	}
	for _, entry := range entries {
		var r Record
		if err := decode(entry.Value, &r); err != nil {
			return err
		}
		if _, err := chain.Apply(r); err != nil {
			return err
		}
	}
	return nil
}

func decode(encoded []byte, target any) error {
	if err := json.Unmarshal(encoded, target); err != nil {
		return ErrChain.New("the store holds a value that is not a record (%v); restore the key", err)
	}
	return nil
}

// Publish stores a note as the next record of the chain; the nonce tells the record from others with the same content.
// The record's key is created atomically if it is absent, so that one of several concurrent publications succeeds.
// Errors are ErrInvalid, ErrConflict, ErrOutcomeUnknown, ErrChain or platform.ErrUnavailable. ErrOutcomeUnknown means
// that the note may have been published; after any other error it has not been.
func (a *Archive) Publish(ctx context.Context, n Note, nonce string, now time.Time) (Record, error) {
	chain := &Chain{}
	if err := a.CatchUp(ctx, chain); err != nil {
		return Record{}, err
	}
	head, headHash, configuration := chain.Head()
	if n.Follows != head.Number {
		return Record{}, conflictError(n, head)
	}
	next, err := configuration.Apply(n)
	if err != nil {
		return Record{}, err
	}
	r := Record{head.Number + 1, headHash, next.Hash(), now.UTC(), nonce, n}
	if err := a.create(ctx, r); err != nil {
		return Record{}, err
	}
	if r.Number%snapshotInterval == 0 {
		a.writeSnapshot(ctx, Snapshot{r, next})
	}
	return r, nil
}

func conflictError(n Note, winner Record) error {
	return ErrConflict.New("the note follows %d but note %d by %s (%q) is the newest; read it, set Follows = %d and publish again",
		n.Follows, winner.Number, winner.Note.Operator, winner.Note.Reason, winner.Number)
}

// create tries to create the record's key until the store confirms which record the key holds.
// Retries are safe: the key is created only once, and the nonce shows whether it holds this record or another one.
func (a *Archive) create(ctx context.Context, r Record) error {
	value, err := json.Marshal(r)
	if err != nil {
		return errorx.Decorate(err, "record %d", r.Number)
	}
	for {
		result, err := a.store.Create(ctx, Key(r.Number), value, 0)
		if err == nil {
			return checkCreated(r, value, result)
		}
		select {
		case <-time.After(a.retryPause):
		case <-ctx.Done():
			return ErrOutcomeUnknown.New("the store did not confirm note %d (%v); run status and see whether note %d has nonce %s before publishing again",
				r.Number, err, r.Number, r.Nonce)
		}
	}
}

func checkCreated(r Record, value []byte, result platform.CreateResult) error {
	if result.Created || bytes.Equal(result.Existing.Value, value) {
		return nil
	}
	var winner Record
	if err := decode(result.Existing.Value, &winner); err != nil {
		return err
	}
	return conflictError(r.Note, winner)
}

// writeSnapshot replaces the stored snapshot with a newer one. Errors are ignored, because without a snapshot hosts only
// take longer to start.
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

// Verify checks every record in the store from the first note on, and returns the newest record and the hashes of all
// records by number. Errors are platform.ErrUnavailable, or ErrChain together with the last valid record.
func (a *Archive) Verify(ctx context.Context) (Record, map[int]string, error) {
	chain := &Chain{}
	hashes := map[int]string{}
	for {
		entries, err := a.store.Range(ctx, KeyPrefix, Key(chain.Number()+1), rangePageSize)
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
			if _, err := chain.Apply(r); err != nil {
				return head, hashes, err
			}
			head, hashes[r.Number], _ = chain.Head()
		}
	}
}
