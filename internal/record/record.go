// Package record keeps the typed explanations of every change of steering.
package record

import (
	"cmp"
	"slices"
	"time"
)

// Kind says what changed.
type Kind string

// The kinds of record.
const (
	NoteAdopted        Kind = "NoteAdopted"
	NoteRejected       Kind = "NoteRejected"
	TargetMoved        Kind = "TargetMoved"
	TargetForgotten    Kind = "TargetForgotten"
	HostJoined         Kind = "HostJoined"
	HostLeft           Kind = "HostLeft"
	HostPaused         Kind = "HostPaused"
	HostSealed         Kind = "HostSealed"
	HomeMoved          Kind = "HomeMoved"
	RequestQuarantined Kind = "RequestQuarantined"
	BudgetExhausted    Kind = "BudgetExhausted"
	OverloadBegan      Kind = "OverloadBegan"
	OverloadEnded      Kind = "OverloadEnded"
	StoreLost          Kind = "StoreLost"
	StoreReturned      Kind = "StoreReturned"
)

// Evidence is what a decision was based on; fields that do not apply are zero.
type Evidence struct {
	Failures int           `json:",omitempty"`
	Latency  time.Duration `json:",omitempty"`
	Usual    time.Duration `json:",omitempty"`
	Queued   int           `json:",omitempty"`
	Peer     string        `json:",omitempty"`
	Hash     string        `json:",omitempty"`
	Detail   string        `json:",omitempty"`
}

// Record is one change of steering on one entry host.
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
	// Note is the number of the note in force when it happened.
	Note     int
	Evidence Evidence
}

// Sort orders records by time, then host, then sequence.
func Sort(records []Record) {
	slices.SortFunc(records, func(a, b Record) int {
		return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Sequence, b.Sequence))
	})
}

// EligibleTargets returns, from one host's records alone, the targets of a service that could get new requests at an instant, sorted.
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
