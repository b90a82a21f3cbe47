package note

import "time"

// Status is which note is in force on a host.
type Status struct {
	Host          string
	Incarnation   uint64
	Number        int
	Hash          string
	Configuration string
	// InForceSince is when this host put the note in force.
	InForceSince time.Time
	Operator     string
	Reason       string
}
