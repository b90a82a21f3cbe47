package record

import (
	"cmp"
	"slices"
	"time"
)

// Interval is a time span in which a target was in one state on one host.
type Interval struct {
	Host        string
	Incarnation uint64
	Service     string
	Target      string
	State       string
	Cause       string
	Note        int
	From        time.Time
	To          time.Time
	Evidence    Evidence
}

func (i Interval) Duration() time.Duration { return i.To.Sub(i.From) }

// Eligible reports whether the target could get new requests from the host in the interval.
func (i Interval) Eligible() bool { return i.State == "Live" || i.State == "Ramping" }

// TimeRange is the period that a timeline covers.
type TimeRange struct {
	From time.Time
	To   time.Time
}

// timelineKey identifies the state of one target in one incarnation of a host.
type timelineKey struct {
	host        string
	incarnation uint64
	target      string
}

// Timeline returns the states of a target on each host as intervals within a period, sorted by host and time.
// The time before a host's first record about the target is left out: the host was not running, did not have the target
// in its configuration, or no longer holds the record.
func Timeline(records []Record, target string, period TimeRange) []Interval {
	current := map[timelineKey]Interval{}
	var intervals []Interval
	sorted := slices.Clone(records)
	Sort(sorted)
	for _, r := range sorted {
		if r.Target != target || r.Kind != TargetMoved && r.Kind != TargetForgotten {
			continue
		}
		key := timelineKey{r.Host, r.Incarnation, r.Target}
		if previous, found := current[key]; found {
			previous.To = r.Time
			intervals = append(intervals, previous)
			delete(current, key)
		}
		if r.Kind == TargetMoved {
			current[key] = Interval{
				Host: r.Host, Incarnation: r.Incarnation, Service: r.Service, Target: r.Target, State: r.To,
				Cause: r.Cause, Note: r.Note, From: r.Time, Evidence: r.Evidence,
			}
		}
	}
	for _, interval := range current {
		interval.To = period.To
		intervals = append(intervals, interval)
	}
	return clip(intervals, period)
}

// clip cuts intervals to a period, drops those outside and sorts the rest by host and time.
func clip(intervals []Interval, period TimeRange) []Interval {
	intervals = slices.DeleteFunc(intervals, func(i Interval) bool { return !i.From.Before(period.To) || !i.To.After(period.From) })
	for i := range intervals {
		if intervals[i].From.Before(period.From) {
			intervals[i].From = period.From
		}
		if intervals[i].To.After(period.To) {
			intervals[i].To = period.To
		}
	}
	slices.SortFunc(intervals, func(a, b Interval) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), a.From.Compare(b.From), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return intervals
}

// Eligibility is how long a target could get new requests from one host.
type Eligibility struct {
	Host     string
	Eligible time.Duration
	// Covered is the part of the period for which the host's records give the target's state.
	Covered time.Duration
}

// EligibilityByHost sums the intervals of a timeline by host, sorted by host.
func EligibilityByHost(timeline []Interval) []Eligibility {
	byHost := map[string]*Eligibility{}
	for _, i := range timeline {
		e := byHost[i.Host]
		if e == nil {
			e = &Eligibility{Host: i.Host}
			byHost[i.Host] = e
		}
		e.Covered += i.Duration()
		if i.Eligible() {
			e.Eligible += i.Duration()
		}
	}
	var eligibilities []Eligibility
	for _, e := range byHost {
		eligibilities = append(eligibilities, *e)
	}
	slices.SortFunc(eligibilities, func(a, b Eligibility) int { return cmp.Compare(a.Host, b.Host) })
	return eligibilities
}
