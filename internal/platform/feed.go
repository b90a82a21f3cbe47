package platform

import (
	"context"
	"time"
)

// ErrCompacted reports that the store no longer holds the changes asked for; take a new snapshot.
var ErrCompacted = namespace.NewType("compacted")

// Change is one write or removal of a key; Revision is the store revision that made it.
type Change struct {
	Entry
	Deleted bool
}

// WatchableStore reads a part of the store whole and then follows its changes.
// Every error is ErrUnavailable or ErrCompacted.
type WatchableStore interface {
	// Snapshot returns all entries under prefix and the revision from which to follow changes.
	Snapshot(ctx context.Context, prefix string) (entries []Entry, revision int64, err error)
	// WaitForChanges waits up to wait for changes after a revision and returns them with the revision to go on from.
	WaitForChanges(ctx context.Context, prefix string, after int64, wait time.Duration) (changes []Change, revision int64, err error)
	// Write sets and removes keys in one step, whatever they held.
	Write(ctx context.Context, set []Entry, remove []string) error
}
