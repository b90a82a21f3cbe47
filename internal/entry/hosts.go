package entry

import (
	"briarcroft/internal/platform"
	"briarcroft/internal/route"
)

// takeHostList drains the targets and hosts that the platform calls leaving and returns the addresses it named.
func (h *Host) takeHostList(list []platform.ListedHost, before map[string]bool) map[string]bool {
	addresses, names := map[string]bool{}, map[string]bool{}
	var entries []string
	for _, listed := range list {
		if listed.Role == platform.RoleEntry && listed.State != platform.HostLeaving {
			entries = append(entries, listed.Address)
		}
		if listed.State == platform.HostLeaving {
			addresses[listed.Address] = true
			names[listed.Name] = true
		}
	}
	h.table.SetHostList(entries, names)
	for _, t := range h.steering.Configuration().Targets {
		service := h.steering.Services()[t.Service]
		switch {
		case service == nil:
			// A note has just withdrawn it.
		case addresses[t.Address]:
			service.Drain(t.Name, route.CauseLeaving)
		case before[t.Address]:
			service.Undrain(t.Name, route.CauseListed)
		}
	}
	return addresses
}
