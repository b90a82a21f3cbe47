package entry

import (
	"slices"

	"briarcroft/internal/host"
	"briarcroft/internal/record"
)

// homeTracker remembers the first home of each service, to explain when it moves. Only the heartbeat duty uses it.
type homeTracker struct {
	primary map[string]string
	// live and note are what the homes were last computed from.
	live []host.Member
	note int
}

// update reports whether the homes must be computed again: the live hosts, their wants or the note have changed.
func (t *homeTracker) update(note int, live []host.Member) bool {
	same := func(a, b host.Member) bool { return a.Name == b.Name && slices.Equal(a.Wants, b.Wants) }
	if note == t.note && slices.EqualFunc(live, t.live, same) {
		return false
	}
	t.note, t.live = note, live
	return true
}

// recordHomeMoves writes a record for each service whose first home has moved.
func (h *Host) recordHomeMoves() {
	live := h.table.Live(h.now())
	configuration := h.dispatcher.Configuration()
	if !h.homes.update(configuration.Number, live) {
		return
	}
	for _, s := range configuration.Services {
		list := host.Homes(s.Name, host.Wanted(s.Name, s.Homes, live), h.settings.Host.Domain, h.settings.Host.Region, live)
		home := ""
		if len(list) > 0 {
			home = list[0].Name
		}
		old := h.homes.primary[s.Name]
		if old == home {
			continue
		}
		h.homes.primary[s.Name] = home
		h.records.Add(record.Record{Kind: record.HomeMoved, Service: s.Name, From: old, To: home, Cause: "Membership", Note: h.chain.Number()})
	}
}
