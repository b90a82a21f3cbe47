package entry

import (
	"slices"

	"briarcroft/internal/host"
	"briarcroft/internal/record"
)

// homes remembers the first home of each service, to explain when it moves. Only the heartbeat duty uses it.
type homes struct {
	first map[string]string
	// live and note are what the homes were last computed from.
	live []host.Member
	note int
}

// stale reports whether the homes must be computed again: the live hosts, their wants or the note have changed.
func (o *homes) stale(note int, live []host.Member) bool {
	same := func(a, b host.Member) bool { return a.Name == b.Name && slices.Equal(a.Wants, b.Wants) }
	if note == o.note && slices.EqualFunc(live, o.live, same) {
		return false
	}
	o.note, o.live = note, live
	return true
}

// explainHomes writes a record for each service whose first home has moved.
func (h *Host) explainHomes() {
	live := h.table.Live(h.now())
	configuration := h.steering.Configuration()
	if !h.homes.stale(configuration.Number, live) {
		return
	}
	for _, s := range configuration.Services {
		list := host.Homes(s.Name, host.HomeCount(s.Name, s.Homes, live), h.settings.Host.Domain, h.settings.Host.Region, live)
		home := ""
		if len(list) > 0 {
			home = list[0].Name
		}
		old := h.homes.first[s.Name]
		if old == home {
			continue
		}
		h.homes.first[s.Name] = home
		h.book.Add(record.Record{Kind: record.HomeMoved, Service: s.Name, From: old, To: home, Cause: "Membership", Note: h.chain.Number()})
	}
}
