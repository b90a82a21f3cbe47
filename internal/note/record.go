package note

import (
	"fmt"
	"time"
)

// KeyPrefix is where accepted notes live in the store.
const KeyPrefix = "briarcroft/notes/"

// SnapshotKey is where the newest snapshot lives in the store.
const SnapshotKey = "briarcroft/snapshot"

// Key returns the store's key for a note number.
func Key(number int) string { return fmt.Sprintf("%s%010d", KeyPrefix, number) }

// Record is an accepted note in its place in the chain.
type Record struct {
	Number int
	// Previous is the hash of the record before; empty for the first.
	Previous string
	// Configuration is the hash of the folded configuration.
	Configuration string
	Accepted      time.Time
	// Nonce tells two attempts with the same content apart.
	Nonce string
	Note  Note
}

// Hash returns the hexadecimal SHA-256 of the record.
func (r Record) Hash() string { return hash(r) }

// Snapshot is a record with the configuration it led to, so that a newcomer need not read the whole chain.
type Snapshot struct {
	Record        Record
	Configuration Configuration
}

// Check reports whether the configuration is the one that the record names.
func (s Snapshot) Check() error {
	if s.Configuration.Number != s.Record.Number || s.Configuration.Hash() != s.Record.Configuration {
		return ErrChain.New("snapshot of note %d does not hold the configuration that its record names; read the chain from the store", s.Record.Number)
	}
	return nil
}
