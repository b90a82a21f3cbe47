package roster

import (
	"briarcroft/internal/note"
	"briarcroft/internal/placement"
)

// Target is one backend server as it registered itself.
type Target struct {
	placement.Target
	Service string
}

// DecodedEntry is what one entry of the store says: Configured, Registered or Neighbour.
type DecodedEntry interface{ decodedEntry() }

// ConfigurationEntry is the newest configuration.
type ConfigurationEntry struct{ Configuration note.Configuration }

// TargetEntry is one target.
type TargetEntry struct{ Target Target }

// PeerEntry is the inner address of an entry host, left in the store for hosts that know none.
type PeerEntry struct{ Inner string }

func (ConfigurationEntry) decodedEntry() {}
func (TargetEntry) decodedEntry()        {}
func (PeerEntry) decodedEntry()          {}

// DecodeFunc reads one entry; it returns nil without error for a key that is none of the project's concern.
type DecodeFunc = func(key string, value []byte) (DecodedEntry, error)
