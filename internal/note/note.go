// Package note parses, folds, chains and publishes release notes, the only way in which operators steer the fleet.
package note

import (
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("note").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrConflict reports that another note took the number; the message names it and what to do.
var ErrConflict = namespace.NewType("conflict")

// ErrOutcomeUnknown reports that the store gave no answer on whether the note was accepted.
var ErrOutcomeUnknown = namespace.NewType("unknown")

// ErrChain reports a record that does not follow the one before it.
var ErrChain = namespace.NewType("chain")

// Service is a group of targets that answer the same requests.
type Service struct {
	Name string `ini:"-"`
	// QueueLimit is the most requests that may wait at one entry host.
	QueueLimit int
	// Homes is the number of entry hosts that callers are sent to first.
	Homes int
	// RetryRatio is the most retries and hedges per first try.
	RetryRatio float64
	// ReportPath is fetched from targets as their health and load report; empty means no probes.
	ReportPath string
	// Connections is the most connections to one target from all entry hosts together; zero means no limit.
	Connections int `ini:"-" json:",omitempty"`
}

// Target is one backend server that runs requests of a service.
type Target struct {
	Name    string `ini:"-"`
	Service string `required:"true"`
	Address string `required:"true"`
	Domain  string `required:"true"`
	// Slots is how many requests the target runs at a time.
	Slots int
	// Connections is the most connections one entry host opens to the target.
	Connections int
}

// Rule maps requests to a service and a class, and says how they may be steered.
type Rule struct {
	Name string `ini:"-"`
	// Host matches the request's host exactly; empty matches any.
	Host string
	// Path matches the request's path by prefix.
	Path string `required:"true"`
	// Methods lists the methods that match; empty matches any.
	Methods []string
	Service string `required:"true"`
	Class   string
	// Weight is the class's share of a full queue.
	Weight int
	// Deadline is the longest time from arrival to answer.
	Deadline time.Duration
	// Idempotent says whether a request may be run twice; Auto takes it from the method as RFC 9110 does.
	Idempotent string `allowed:"Auto|Yes|No"`
	// NotRunStatuses are the backend's answers that mean that it did not run the request.
	NotRunStatuses []int
	// Shares divides the requests among several services; Service is empty then.
	Shares []Share `ini:"-" json:",omitempty"`
	// Priority is the rank of the requests when they wait; 0 goes first.
	Priority int `ini:"-" json:",omitempty"`
	// Goal is the time within which an answer is worth most; zero means none is set.
	Goal time.Duration `ini:"-" json:",omitempty"`
	// Attempts is the most targets that one request may be sent to; zero means no limit.
	Attempts int `ini:"-" json:",omitempty"`
}

// Share is the part of a rule's requests that one service gets, by weight.
type Share struct {
	Service string
	Weight  int
}

// Limits bounds what callers may send and how long they may take; sizes are in bytes.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Withdrawal names what a note takes away.
type Withdrawal struct {
	Services []string
	Targets  []string
	Rules    []string
}

// Note is one release note as its operator wrote it.
type Note struct {
	// Follows is the number of the note in force when this one was written; 0 for the first.
	Follows  int
	Operator string
	Reason   string
	Services []Service
	Targets  []Target
	Rules    []Rule
	Withdraw Withdrawal
}

// IsIdempotent reports whether a request with the method may be run twice under the rule.
func (r Rule) IsIdempotent(method string) bool {
	switch r.Idempotent {
	case "Yes":
		return true
	case "No":
		return false
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}
