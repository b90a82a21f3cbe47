package gateway

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"briarcroft/internal/note"
	"briarcroft/internal/placement"
	"briarcroft/internal/ratelimit"
	"briarcroft/internal/record"
	"briarcroft/internal/roster"
)

// clockMargin is by how much the time of day may differ between hosts and targets. Beyond it, an entry that this host finds in the
// store when it first reads it counts as written by a target that has been warm for long.
const clockMargin = time.Minute

// warmUp returns what cold targets of a service take.
func (g *Gateway) warmUp(s note.Service) placement.WarmUp {
	if s.WarmUpRate <= 0 {
		return placement.WarmUp{}
	}
	t := g.settings.Targets
	return placement.WarmUp{Rate: s.WarmUpRate, Bound: s.WarmUpRate*t.WarmUpOverage + t.WarmUpSlack}
}

// warmUpEntries holds which entries of targets have been counted as statements of how long they stay cold.
type warmUpEntries struct {
	// services holds the services with a limit for cold targets, and sequences the number of the last entry of each of their targets.
	services  map[string]bool
	sequences map[ratelimit.Key]int64
}

// recordWarmUps records what new entries of the store and the ends of evacuations say of cold targets. The caller holds applyMu.
func (g *Gateway) recordWarmUps(v *roster.View, returned []string) {
	old := g.warmUpEntries
	next := warmUpEntries{services: map[string]bool{}, sequences: map[ratelimit.Key]int64{}}
	now, knownAt := g.now(), g.roster.Confirmed().AsOf
	for _, s := range v.Configuration.Services {
		if s.WarmUpRate <= 0 {
			continue
		}
		next.services[s.Name] = true
		for _, t := range v.Targets[s.Name] {
			k := ratelimit.Key{Target: t.Name, Incarnation: t.Incarnation}
			sequence, seen := old.sequences[k]
			next.sequences[k] = max(sequence, t.Sequence)
			left, isNew := t.WarmUpLeft, old.services[s.Name] && !t.WarmUpOmitted
			if t.WarmUpOmitted && !seen {
				// The start of the target says how long it stays cold.
				left = s.WarmUpTime
			}
			if (!seen || t.Sequence > sequence) && (isNew || mayBeCold(t, left)) {
				g.rateLimits.RecordEntry(now, knownAt, k, left)
			}
			if slices.Contains(returned, t.Domain) {
				g.rateLimits.RecordUnknown(now, knownAt, k)
			}
		}
	}
	g.warmUpEntries = next
}

// mayBeCold reports whether a target may be cold whose entry was written at an unknown time, after the target's start, and says that it
// stays cold for the given time.
func mayBeCold(t roster.Target, left time.Duration) bool {
	age := time.Since(time.UnixMilli(t.Incarnation))
	return left > 0 && (t.Incarnation == 0 || age < left+clockMargin)
}

// readWarmUp records what the response to a health request that was sent at a time says of how long the target stays cold. A response
// with status 200 and without the field means that it is warm.
func (g *Gateway) readWarmUp(target string, sent time.Duration, response *http.Response) {
	t, found := g.findTarget(target)
	if !found {
		return
	}
	_, _, c := g.chain.Head()
	if s, _ := c.Service(t.Service); s.WarmUpRate <= 0 {
		return
	}
	left, said := g.parseWarmUp(target, response)
	if !said {
		return
	}
	k, now := ratelimit.Key{Target: target, Incarnation: t.Incarnation}, g.now()
	if left <= 0 {
		// It was warm when it responded, which may have been soon after the request was sent.
		g.rateLimits.RecordWarmUp(now, sent, k, 0)
	} else if g.rateLimits.RecordWarmUp(now, now, k, now+left) {
		g.heartbeatTrigger.Push(struct{}{})
	}
}

// parseWarmUp returns how long a target stays cold as its health response says, and whether it says anything that can be read.
func (g *Gateway) parseWarmUp(target string, response *http.Response) (left time.Duration, said bool) {
	value := strings.TrimSpace(response.Header.Get(g.dialect.WarmUpHeader))
	if value == "" {
		return 0, response.StatusCode == http.StatusOK
	}
	milliseconds, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(milliseconds) || milliseconds < 0 {
		if g.malformedNotices.Allow() {
			g.records.Add(record.Record{Kind: record.TargetNotice, Target: target, Cause: "Malformed", Note: g.chain.Number(), Evidence: record.Evidence{Detail: g.dialect.WarmUpHeader + ": " + value}})
		}
		return 0, false
	}
	return time.Duration(min(milliseconds, float64(ratelimit.MaxWarmUp.Milliseconds())) * float64(time.Millisecond)), true
}

// recordWarmUp writes a change record for a target that has become cold or warm.
func (s *homeServer) recordWarmUp(service string, c placement.WarmUpChange) {
	r := record.Record{Kind: record.TargetCold, Service: service, Target: c.Target, Cause: "Cold", Note: s.gateway.chain.Number()}
	if c.Left > 0 {
		r.Evidence.Detail = c.Left.Round(time.Millisecond).String()
	} else {
		r.Cause = "Warm"
	}
	s.gateway.records.Add(r)
}
