package note

import "time"

// Status describes the note in force on a host. Hash is the hash of its record and Configuration that of the configuration.
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
