package platform

import (
	"context"
	"time"
)

// ErrCompacted reports that the store no longer holds all requested changes; take a new snapshot.
var ErrCompacted = namespace.NewType("compacted")

// Change is a write or, if Deleted is set, a removal of a key. Revision is the store's revision at the change.
type Change struct {
	Entry
	Deleted bool
}

// WatchableStore is a key-value store that hosts replicate: they take a snapshot and then wait for changes.
// Errors are ErrUnavailable or ErrCompacted.
type WatchableStore interface {
	// Snapshot returns all entries under prefix and the revision after which to wait for changes.
	Snapshot(ctx context.Context, prefix string) (entries []Entry, revision int64, err error)
	// WaitForChanges waits for up to wait until there are changes under prefix after a revision. It returns them with
	// the revision to pass to the next call.
	WaitForChanges(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Change, revision int64, err error)
	// Write sets and removes keys in one transaction, regardless of their present values.
	Write(ctx context.Context, set []Entry, remove []string) error
}
