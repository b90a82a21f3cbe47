package roster

import (
	"cmp"

	"briarcroft/internal/note"
	"briarcroft/internal/placement"
)

// Target is a backend server as it has registered itself in the store.
type Target struct {
	placement.Target
	Service string
	// Sequence counts what the target has written since its start.
	Sequence int64
}

// isNewerThan reports whether the target wrote this registration later than another one.
func (t Target) isNewerThan(other Target) bool {
	return cmp.Or(cmp.Compare(t.Incarnation, other.Incarnation), cmp.Compare(t.Sequence, other.Sequence)) > 0
}

// DecodedEntry is the content of one entry of the store: ConfigurationEntry, TargetEntry, PeerEntry or EvacuationEntry.
type DecodedEntry interface{ decodedEntry() }

// ConfigurationEntry holds a configuration.
type ConfigurationEntry struct{ Configuration note.Configuration }

// TargetEntry holds the registration of a target.
type TargetEntry struct{ Target Target }

// PeerEntry holds the address of an entry host for traffic between hosts. A host that knows no other host yet uses it to
// find one.
type PeerEntry struct{ Inner string }

// EvacuationEntry says that a failure domain is evacuated while the entry exists: its targets get no requests.
type EvacuationEntry struct{ Domain string }

func (ConfigurationEntry) decodedEntry() {}
func (TargetEntry) decodedEntry()        {}
func (PeerEntry) decodedEntry()          {}
func (EvacuationEntry) decodedEntry()    {}

// DecodeFunc decodes an entry of the store. It returns nil without an error for a key that it does not use.
type DecodeFunc = func(key string, value []byte) (DecodedEntry, error)
