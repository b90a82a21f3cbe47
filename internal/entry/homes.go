package entry

import (
	"slices"

	"briarcroft/internal/host"
	"briarcroft/internal/record"
)

// homeTracker keeps the primary home of each service, to record when it moves. A home is an entry host that callers
// should connect to for a service. It is used by the heartbeat loop only and needs no lock.
type homeTracker struct {
	primary map[string]string
	// live and note are the live hosts and the note number from which the homes were last computed.
	live []host.Member
	note int
}

// update stores the note number and the live hosts, and reports whether the homes must be computed again because
// the note, the set of live hosts or the numbers of homes that they want have changed.
func (t *homeTracker) update(note int, live []host.Member) bool {
	same := func(a, b host.Member) bool { return a.Name == b.Name && slices.Equal(a.Wants, b.Wants) }
	if note == t.note && slices.EqualFunc(live, t.live, same) {
		return false
	}
	t.note, t.live = note, live
	return true
}

// recordHomeMoves adds a record for each service whose primary home has moved to another host.
func (h *Host) recordHomeMoves() {
	live := h.membership.Live(h.now())
	configuration := h.dispatcher.Configuration()
	if !h.homes.update(configuration.Number, live) {
		return
	}
	for _, s := range configuration.Services {
		candidates := host.Homes(s.Name, host.HomeCount(s.Name, s.Homes, live), h.settings.Host.Domain, h.settings.Host.Region, live)
		home := ""
		if len(candidates) > 0 {
			home = candidates[0].Name
		}
		old := h.homes.primary[s.Name]
		if old == home {
			continue
		}
		h.homes.primary[s.Name] = home
		h.records.Add(record.Record{Kind: record.HomeMoved, Service: s.Name, From: old, To: home, Cause: "Membership", Note: h.chain.Number()})
	}
}
