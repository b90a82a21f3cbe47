// Package platform meets the platform's key-value service and host list through their published protocols.
package platform

import (
	"context"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("platform").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrUnavailable reports that the service gave no usable answer; a write may still take effect.
var ErrUnavailable = namespace.NewType("unavailable", errorx.Timeout())

// ErrLeaseExpired reports a lease that has lapsed; ask for a new one.
var ErrLeaseExpired = namespace.NewType("lease_gone")

// Entry is one key and its value; Revision is the store revision that wrote it.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64
}

// CreateResult tells how a create-if-absent ended; Existing holds the other value when Won is false.
type CreateResult struct {
	Created  bool
	Existing Entry
}

// LeaseID names a lease held in the store; zero means no lease.
type LeaseID int64

// Store is the platform's key-value service.
// Every error is ErrUnavailable or ErrLeaseExpired.
type Store interface {
	// Get returns the entry of a key; found is false when it is absent.
	Get(ctx context.Context, key string) (entry Entry, found bool, err error)
	// Range returns up to limit entries whose keys start with prefix and are not less than from, in key order.
	Range(ctx context.Context, prefix, from string, limit int) ([]Entry, error)
	// Last returns the entry with the greatest key under prefix.
	Last(ctx context.Context, prefix string) (entry Entry, found bool, err error)
	// Create writes a key only if it is absent.
	Create(ctx context.Context, key string, value []byte, lease LeaseID) (CreateResult, error)
	// CompareAndSwap writes a key only if its revision is still the given one; revision 0 means absent.
	CompareAndSwap(ctx context.Context, key string, value []byte, revision int64) (swapped bool, err error)
	// GrantLease asks for a lease of the given length.
	GrantLease(ctx context.Context, length time.Duration) (LeaseID, error)
	// KeepAlive renews a lease.
	KeepAlive(ctx context.Context, lease LeaseID) error
	// Watch calls changed for each write under prefix until the context or the connection ends.
	Watch(ctx context.Context, prefix string, onWrite func(Entry)) error
}
