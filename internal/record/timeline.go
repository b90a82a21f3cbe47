package record

import (
	"cmp"
	"slices"
	"time"
)

// Interval is a stretch of time in which a target was in one state on one host.
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

// Duration returns how long the interval lasted.
func (i Interval) Duration() time.Duration { return i.To.Sub(i.From) }

// Eligible reports whether the target could get new requests in the interval.
func (i Interval) Eligible() bool { return i.State == "Live" || i.State == "Ramping" }

// TimeRange is a period that is asked about.
type TimeRange struct {
	From time.Time
	To   time.Time
}

// line names one target on one incarnation of one host.
type line struct {
	host        string
	incarnation uint64
	target      string
}

// Timeline returns the intervals of a target's states that reach into a stretch, by host and time.
// Time before a host's first record of the target is left out: the host did not run, did not know the target,
// or no longer holds the record.
func Timeline(records []Record, target string, s TimeRange) []Interval {
	open := map[line]Interval{}
	var list []Interval
	sorted := slices.Clone(records)
	Sort(sorted)
	for _, r := range sorted {
		if r.Target != target || r.Kind != TargetMoved && r.Kind != TargetForgotten {
			continue
		}
		key := line{r.Host, r.Incarnation, r.Target}
		if before, found := open[key]; found {
			before.To = r.Time
			list = append(list, before)
			delete(open, key)
		}
		if r.Kind == TargetMoved {
			open[key] = Interval{
				Host: r.Host, Incarnation: r.Incarnation, Service: r.Service, Target: r.Target, State: r.To,
				Cause: r.Cause, Note: r.Note, From: r.Time, Evidence: r.Evidence,
			}
		}
	}
	for _, interval := range open {
		interval.To = s.To
		list = append(list, interval)
	}
	return clip(list, s)
}

// clip cuts intervals to a stretch, drops those outside, and sorts the rest.
func clip(list []Interval, s TimeRange) []Interval {
	list = slices.DeleteFunc(list, func(i Interval) bool { return !i.From.Before(s.To) || !i.To.After(s.From) })
	for i := range list {
		if list[i].From.Before(s.From) {
			list[i].From = s.From
		}
		if list[i].To.After(s.To) {
			list[i].To = s.To
		}
	}
	slices.SortFunc(list, func(a, b Interval) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), a.From.Compare(b.From), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return list
}

// Eligibility is how much of a stretch a target was eligible on one host.
type Eligibility struct {
	Host     string
	Eligible time.Duration
	// Covered is how much of the stretch the host's records cover.
	Covered time.Duration
}

// EligibilityByHost sums a timeline by host.
func EligibilityByHost(timeline []Interval) []Eligibility {
	byHost := map[string]*Eligibility{}
	for _, i := range timeline {
		s := byHost[i.Host]
		if s == nil {
			s = &Eligibility{Host: i.Host}
			byHost[i.Host] = s
		}
		s.Covered += i.Duration()
		if i.Eligible() {
			s.Eligible += i.Duration()
		}
	}
	var list []Eligibility
	for _, s := range byHost {
		list = append(list, *s)
	}
	slices.SortFunc(list, func(a, b Eligibility) int { return cmp.Compare(a.Host, b.Host) })
	return list
}
