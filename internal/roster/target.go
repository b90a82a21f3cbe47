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

// Item is what one entry of the store says: Configured, Registered or Neighbour.
type Item interface{ item() }

// Configured is the newest configuration.
type Configured struct{ Configuration note.Configuration }

// Registered is one target.
type Registered struct{ Target Target }

// Neighbour is the inner address of an entry host, left in the store for hosts that know none.
type Neighbour struct{ Inner string }

func (Configured) item() {}
func (Registered) item() {}
func (Neighbour) item()  {}

// DecodeFunc reads one entry; it returns nil without error for a key that is none of the project's concern.
type DecodeFunc = func(key string, value []byte) (Item, error)
