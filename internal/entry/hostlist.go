package entry

import (
	"briarcroft/internal/platform"
	"briarcroft/internal/route"
)

// applyHostList applies the platform's host list. It drains the targets that the list marks as leaving, and ends the
// draining of targets that were leaving in the previous list. It passes the entry hosts of the list to the membership,
// which takes leaving ones out of use and finds peers by the addresses of the others. It returns the addresses of all
// leaving hosts.
func (h *Host) applyHostList(hosts []platform.ListedHost, previous map[string]bool) map[string]bool {
	addresses, names := map[string]bool{}, map[string]bool{}
	var entryHosts []string
	for _, listed := range hosts {
		if listed.Role == platform.RoleEntry && listed.State != platform.HostLeaving {
			entryHosts = append(entryHosts, listed.Address)
		}
		if listed.State == platform.HostLeaving {
			addresses[listed.Address] = true
			names[listed.Name] = true
		}
	}
	h.membership.SetHostList(entryHosts, names)
	for _, t := range h.dispatcher.Configuration().Targets {
		service := h.dispatcher.Services()[t.Service]
		switch {
		case service == nil:
			// A note that came into force meanwhile has removed the service.
		case addresses[t.Address]:
			service.Drain(t.Name, route.CauseHostListLeaving)
		case previous[t.Address]:
			service.Undrain(t.Name, route.CauseHostListLive)
		}
	}
	return addresses
}
