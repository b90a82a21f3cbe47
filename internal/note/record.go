package note

import (
	"fmt"
	"time"
)

// KeyPrefix is the prefix of the store's keys that hold records.
const KeyPrefix = "briarcroft/notes/"

// SnapshotKey is the store's key that holds the newest snapshot.
const SnapshotKey = "briarcroft/snapshot"

// Key returns the store's key of the record with the given number; keys sort by number.
func Key(number int) string { return fmt.Sprintf("%s%010d", KeyPrefix, number) }

// Record is a published note with its number and its link to the record before it.
type Record struct {
	Number int
	// Previous is the hash of the record before this one; empty for the first.
	Previous string
	// Configuration is the hash of the configuration that the note leads to.
	Configuration string
	Accepted      time.Time
	// Nonce is different for each publication, so that two publications of the same content can be told apart.
	Nonce string
	Note  Note
}

// Hash returns the hexadecimal SHA-256 of the JSON text of the record.
func (r Record) Hash() string { return hash(r) }

// Snapshot is a record with the configuration that it leads to, so that a host that starts need not read the whole chain.
type Snapshot struct {
	Record        Record
	Configuration Configuration
}

// Check returns ErrChain unless the configuration matches the hash in the record.
func (s Snapshot) Check() error {
	if s.Configuration.Number != s.Record.Number || s.Configuration.Hash() != s.Record.Configuration {
		return ErrChain.New("the configuration in the snapshot of note %d does not match the hash in its record; read the chain from the store",
			s.Record.Number)
	}
	return nil
}
