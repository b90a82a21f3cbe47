package inner

import "briarcroft/internal/host"

// ToMembers encodes members.
func ToMembers(members []host.Member) []*Member {
	list := make([]*Member, 0, len(members))
	for _, m := range members {
		list = append(list, &Member{
			Name: m.Name, Listen: m.Listen, Inner: m.Inner, Domain: m.Domain, Region: m.Region, Incarnation: m.Incarnation,
			Beat: m.Beat, Leaving: m.Leaving, Note: int64(m.Note), Ready: m.Ready, Wants: toWants(m.Wants), StoreLost: m.StoreLost,
		})
	}
	return list
}

// FromMembers decodes members.
func FromMembers(members []*Member) []host.Member {
	list := make([]host.Member, 0, len(members))
	for _, m := range members {
		list = append(list, host.Member{
			Name: m.Name, Listen: m.Listen, Inner: m.Inner, Domain: m.Domain, Region: m.Region, Incarnation: m.Incarnation,
			Beat: m.Beat, Leaving: m.Leaving, Note: int(m.Note), Ready: m.Ready, Wants: fromWants(m.Wants), StoreLost: m.StoreLost,
		})
	}
	return list
}

func toWants(wants []host.HomeDemand) []*Want {
	var list []*Want
	for _, w := range wants {
		list = append(list, &Want{Service: w.Service, Homes: uint32(w.Homes)})
	}
	return list
}

func fromWants(wants []*Want) []host.HomeDemand {
	var list []host.HomeDemand
	for _, w := range wants {
		list = append(list, host.HomeDemand{Service: w.Service, Homes: int(w.Homes)})
	}
	return list
}

// ToPulses encodes pulses.
func ToPulses(pulses []host.Digest) []*Pulse {
	list := make([]*Pulse, 0, len(pulses))
	for _, p := range pulses {
		list = append(list, &Pulse{Id: uint32(p.Hash), Beat: p.Beat})
	}
	return list
}

// FromPulses decodes pulses.
func FromPulses(pulses []*Pulse) []host.Digest {
	list := make([]host.Digest, 0, len(pulses))
	for _, p := range pulses {
		list = append(list, host.Digest{Hash: host.MemberHash(p.Id), Beat: p.Beat})
	}
	return list
}

// ToIDs encodes the pulses that were not understood.
func ToIDs(ids []host.MemberHash) []uint32 {
	list := make([]uint32, 0, len(ids))
	for _, id := range ids {
		list = append(list, uint32(id))
	}
	return list
}

// FromIDs decodes the pulses that were not understood.
func FromIDs(ids []uint32) []host.MemberHash {
	list := make([]host.MemberHash, 0, len(ids))
	for _, id := range ids {
		list = append(list, host.MemberHash(id))
	}
	return list
}
