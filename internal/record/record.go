// Package record keeps the event records of an entry host. Each says what changed in the routing of requests or in the
// membership of entry hosts, why, and on what evidence. The newest records are served over HTTP, and all are written to
// the structured log. Timeline and EligibleTargets rebuild from them which targets could get requests at which time.
package record

import (
	"cmp"
	"slices"
	"time"
)

// Kind says what kind of change a record is about.
type Kind string

// The kinds of records.
const (
	// NoteAdopted means that the host put a newer note in force. A note is a revision of the configuration.
	NoteAdopted Kind = "NoteAdopted"
	// NoteRejected means that the host could not apply a note or an entry of the store.
	NoteRejected Kind = "NoteRejected"
	// TargetMoved means that a target changed its state, from From to To.
	TargetMoved Kind = "TargetMoved"
	// TargetForgotten means that a target was removed from the host's routing table.
	TargetForgotten Kind = "TargetForgotten"
	// HostJoined means that an entry host appeared in the membership, for the first time or again.
	HostJoined Kind = "HostJoined"
	// HostLeft means that an entry host began a graceful stop or that it sent no heartbeat for too long.
	HostLeft Kind = "HostLeft"
	// HostPaused means that the process of this host did not run for a while, so that its own heartbeat was late.
	HostPaused Kind = "HostPaused"
	// HostSealed means that this host is stopping and no longer starts requests with an Idempotency-Key that it issued a
	// grant for. Its table of such requests is final from then on.
	HostSealed Kind = "HostSealed"
	// HomeMoved means that the first home of a service for callers in this host's failure domain changed. A home is an
	// entry host that callers should send the requests of the service to. From and To are names of hosts; empty means none.
	HomeMoved Kind = "HomeMoved"
	// RequestQuarantined means that a request is refused for a while because it broke connections of several targets.
	RequestQuarantined Kind = "RequestQuarantined"
	// TargetLimited means that a target has named a limit of requests per second, which Evidence.Detail holds, or has stopped
	// to name one.
	TargetLimited Kind = "TargetLimited"
	// TargetNotice means that a target says that it leaves (Cause Leaving) or wants no requests for a time (Pause), which
	// Evidence.Detail holds; Evidence.Peer is the host from which this one has learned it. Cause Malformed: it said something
	// that cannot be read.
	TargetNotice Kind = "TargetNotice"
	// EvacuationBegan means that a failure domain, which Evidence.Detail names, is evacuated from now on as this host knows, and
	// EvacuationEnded that it is no longer. Evidence.Detail also says how old the host's knowledge of the store was.
	EvacuationBegan Kind = "EvacuationBegan"
	EvacuationEnded Kind = "EvacuationEnded"
	// TargetCold means that a target has become cold (Cause Cold), for as long as Evidence.Detail says, or is warm (Warm).
	TargetCold Kind = "TargetCold"
	// ResponseTooLarge means that a target sent more bytes than a response may have and its connection was closed.
	ResponseTooLarge Kind = "ResponseTooLarge"
	// ResponseInvalid means that the head of a target's response was none that a response may have, for the reason that Cause names, and
	// its connection was closed.
	ResponseInvalid Kind = "ResponseInvalid"
	// BudgetExhausted means that probes of targets are skipped because the budget for measuring is spent.
	BudgetExhausted Kind = "BudgetExhausted"
	// OverloadBegan and OverloadEnded enclose a time in which the queue of a service refused requests.
	OverloadBegan Kind = "OverloadBegan"
	OverloadEnded Kind = "OverloadEnded"
	// StoreLost means that calls to the platform's store fail, and StoreReturned that they succeed again.
	StoreLost     Kind = "StoreLost"
	StoreReturned Kind = "StoreReturned"
	// StoreRestored means that the platform's store has come back from an older copy; Evidence.Detail holds its eras and revisions.
	StoreRestored Kind = "StoreRestored"
	// KeysRefused means that this host refuses all requests with keys of client accounts, because it cannot tell whether one was
	// withdrawn, and KeysAccepted that it can tell again. Evidence.Detail holds the proven age of its knowledge of the store.
	KeysRefused  Kind = "KeysRefused"
	KeysAccepted Kind = "KeysAccepted"
	// TargetsLost means that this host reaches no target over its own link, so that other hosts relay its requests, and
	// TargetsReturned that it reaches targets again.
	TargetsLost     Kind = "TargetsLost"
	TargetsReturned Kind = "TargetsReturned"
)

// Evidence is the data that a change is based on; fields that do not apply are zero.
type Evidence struct {
	Failures int `json:",omitempty"`
	// Latency is the mean latency of the target, and Usual that of the whole service, with which it was compared.
	Latency time.Duration `json:",omitempty"`
	Usual   time.Duration `json:",omitempty"`
	Queued  int           `json:",omitempty"`
	Peer    string        `json:",omitempty"`
	Hash    string        `json:",omitempty"`
	Detail  string        `json:",omitempty"`
}

// Record is one change as one entry host saw it. Sequence numbers the records of an incarnation of the host.
type Record struct {
	Time        time.Time
	Host        string
	Incarnation uint64
	Sequence    uint64
	Kind        Kind
	Service     string `json:",omitempty"`
	Target      string `json:",omitempty"`
	From        string `json:",omitempty"`
	To          string `json:",omitempty"`
	Cause       string `json:",omitempty"`
	// Note is the number of the note that was in force at the time of the change.
	Note     int
	Evidence Evidence
}

// Sort orders records by time, then host, then sequence.
func Sort(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Sequence, b.Sequence))
	})
}

// EligibleTargets returns the sorted names of the targets of a service that could get new requests at the given time,
// according to the records of one host; records must be in the order of their time.
func EligibleTargets(records []Record, service string, at time.Time) []string {
	states := map[string]string{}
	for _, r := range records {
		if r.Service != service || r.Time.After(at) {
			continue
		}
		switch r.Kind {
		case TargetMoved:
			states[r.Target] = r.To
		case TargetForgotten:
			delete(states, r.Target)
		}
	}
	var names []string
	for name, state := range states {
		if state == "Live" || state == "Ramping" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
