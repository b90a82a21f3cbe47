// Package platform defines the interfaces to the key-value store of the platform that entry hosts run on, and the types
// of its entries and changes. It provides clients of an etcd store and of the platform's list of hosts.
package platform

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("platform").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrUnavailable reports that a service gave no usable response; a write may have taken effect or may still do so.
var ErrUnavailable = namespace.NewType("unavailable", errorx.Timeout())

// ErrLeaseExpired reports that a lease has expired; request a new one.
var ErrLeaseExpired = namespace.NewType("lease_gone")

// Entry is one key with its value. Revision is the store's revision at the write, which increases with every write.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
}

// CreateResult is the result of Store.Create. Created is false if the key existed already, with the entry Existing.
type CreateResult struct {
	Created  bool
	Existing Entry
}

// LeaseID identifies a lease: keys that are written with it are removed when it expires. Zero means no lease.
type LeaseID int64

// Store is a key-value store with revisions, such as etcd. Errors are ErrUnavailable or ErrLeaseExpired.
type Store interface {
	// Get returns the entry of a key; found is false if the key does not exist.
	Get(ctx context.Context, key string) (entry Entry, found bool, err error)
	// Range returns up to limit entries whose keys start with prefix and are not less than from, in key order.
	Range(ctx context.Context, prefix, from string, limit int) ([]Entry, error)
	// Last returns the entry with the greatest key under prefix; found is false if there is none.
	Last(ctx context.Context, prefix string) (entry Entry, found bool, err error)
	// Create writes a key only if it does not exist.
	Create(ctx context.Context, key string, value []byte, lease LeaseID) (CreateResult, error)
	// CompareAndSwap writes a key only if its revision is still the given one; revision 0 means that it does not exist.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64) (swapped bool, err error)
	// GrantLease requests a lease of the given length.
	GrantLease(ctx context.Context, length time.Duration) (LeaseID, error)
	// KeepAlive renews a lease for another period of its length.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Watch calls onWrite for each write under prefix until the context or the connection ends. Removals are left out.
	Watch(ctx context.Context, prefix string, onWrite func(Entry)) error
}
