// Package note handles release notes, the revisions of the load balancer's configuration.
//
// A note is a set of changes to services, targets and rules that an operator writes as an INI file. Publishing it stores
// it as a Record under the next number; each record holds the hash of the one before it, so that the records form a Chain.
// Applying all notes up to a number gives the Configuration of that number. Every entry host keeps a chain, reads newer
// records from the store or from its peers, and puts the configuration of the newest one in force.
//
// On a platform that stores whole configurations rather than notes, Diff derives the note that leads from one to the next.
package note

import (
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("note").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrConflict reports a note that does not follow the newest one, for instance because another note was published first.
// The message names the newest note and what to do.
var ErrConflict = namespace.NewType("conflict")

// ErrOutcomeUnknown reports that the store did not confirm whether the note was accepted; it may be in force.
var ErrOutcomeUnknown = namespace.NewType("unknown")

// ErrChain reports stored data that is no valid chain: a record that is unreadable or missing or that does not follow the
// one before it, or a snapshot that does not match its record.
var ErrChain = namespace.NewType("chain")

// Service is a group of targets that serve the same requests. A home of a service is an entry host that callers send
// its requests to, or that decides which target runs each of them.
type Service struct {
	Name string `ini:"-"`
	// QueueLimit is the maximum number of requests in the queue of one entry host.
	QueueLimit int
	// Homes is the number of entry hosts that callers should prefer; a high request rate raises it.
	Homes int
	// RetryRatio is the maximum number of retries and hedges per first attempt.
	RetryRatio float64
	// ReportPath is the path of the targets' health and load report, which probes fetch; empty means no probes.
	ReportPath string
	// Connections is the maximum number of connections to one target over all entry hosts, as the configuration of the
	// users' platform states it; zero means no limit. It is not enforced: each entry host has a fixed limit of its own.
	Connections int `ini:"-" json:",omitempty"`
	// WarmUpTime is how long a target stays cold after its start, and WarmUpRate the number of requests per second that a cold
	// target takes from all entry hosts together; zero means no limit.
	WarmUpTime time.Duration `json:",omitempty"`
	WarmUpRate float64       `json:",omitempty"`
	// SecondRuns is the number of second runs in 100 requests, and SecondRunWork their share in 100 of the server time. They go
	// before the settings of a host; zero means no second runs, and nil that the settings apply.
	SecondRuns    *float64 `json:",omitempty"`
	SecondRunWork *float64 `json:",omitempty"`
}

// Target is one backend server that runs requests of a service.
type Target struct {
	Name    string `ini:"-"`
	Service string `required:"true"`
	Address string `required:"true"`
	Domain  string `required:"true"`
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Connections is the maximum number of connections from one entry host to the target.
	Connections int
}

// Rule maps requests to a service and a class, and says how they may be queued, retried and timed out. A class is a kind
// of requests that are counted, measured and weighted together.
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
	// Weight is the class's share of a full queue, relative to the weights of the other classes.
	Weight int
	// Deadline is the maximum time from the arrival of a request to its response.
	Deadline time.Duration
	// Idempotent says whether a request may run more than once; Auto decides by the method, as RFC 9110 defines it.
	Idempotent string `allowed:"Auto|Yes|No"`
	// NotRunStatuses are the response statuses by which a target says that it did not run the request.
	NotRunStatuses []int
	// Shares divides the requests among several services; Service is empty if it is set.
	Shares []Share `ini:"-" json:",omitempty"`
	// Priority orders queued requests; lower numbers are placed first.
	Priority int `ini:"-" json:",omitempty"`
	// Goal is the latency goal, from arrival to response: a later response is worth less to the caller. Zero means none.
	Goal time.Duration `ini:"-" json:",omitempty"`
	// Attempts is the maximum number of targets that one request is sent to; zero means no limit.
	Attempts int `ini:"-" json:",omitempty"`
	// Public is set if requests need no key of a client account.
	Public bool `json:",omitempty"`
}

// Share is the part of a rule's requests that goes to one service, relative to the weights of the rule's other shares.
type Share struct {
	Service string
	Weight  int
}

// Limits bounds the size of callers' requests, in bytes, the time in which callers must send the header, and the time in
// which a connection may be idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Withdrawal names the entries that a note removes from the configuration.
type Withdrawal struct {
	Services []string
	Targets  []string
	Rules    []string
	Accounts []string `json:",omitempty"`
}

// Note is one release note as its operator wrote it. Its services, targets, rules and accounts replace entries of the same name
// or are added.
type Note struct {
	// Follows is the number of the note that this one was written against, which must still be the newest when it is
	// published; 0 for the first.
	Follows  int
	Operator string
	Reason   string
	Services []Service
	Targets  []Target
	Rules    []Rule
	Accounts []Account `json:",omitempty"`
	Withdraw Withdrawal
}

// IsIdempotent reports whether a request with the given method may run more than once under the rule.
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
