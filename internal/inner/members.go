package inner

import "briarcroft/internal/host"

// EncodeMembers converts members to wire messages.
func EncodeMembers(members []host.Member) []*Member {
	list := make([]*Member, 0, len(members))
	for _, m := range members {
		list = append(list, &Member{
			Name: m.Name, Listen: m.Listen, Inner: m.Inner, Domain: m.Domain, Region: m.Region, Incarnation: m.Incarnation,
			Beat: m.Beat, Leaving: m.Leaving, Note: int64(m.Note), Ready: m.Ready, Wants: encodeWants(m.Wants), StoreLost: m.StoreLost,
		})
	}
	return list
}

// DecodeMembers converts wire messages to members.
func DecodeMembers(members []*Member) []host.Member {
	list := make([]host.Member, 0, len(members))
	for _, m := range members {
		list = append(list, host.Member{
			Name: m.Name, Listen: m.Listen, Inner: m.Inner, Domain: m.Domain, Region: m.Region, Incarnation: m.Incarnation,
			Beat: m.Beat, Leaving: m.Leaving, Note: int(m.Note), Ready: m.Ready, Wants: decodeWants(m.Wants), StoreLost: m.StoreLost,
		})
	}
	return list
}

func encodeWants(wants []host.HomeDemand) []*Want {
	var list []*Want
	for _, w := range wants {
		list = append(list, &Want{Service: w.Service, Homes: uint32(w.Homes)})
	}
	return list
}

func decodeWants(wants []*Want) []host.HomeDemand {
	var list []host.HomeDemand
	for _, w := range wants {
		list = append(list, host.HomeDemand{Service: w.Service, Homes: int(w.Homes)})
	}
	return list
}

// EncodeDigests converts member digests to wire messages; a digest is called a pulse on the wire.
func EncodeDigests(digests []host.Digest) []*Pulse {
	list := make([]*Pulse, 0, len(digests))
	for _, d := range digests {
		list = append(list, &Pulse{Id: uint32(d.Hash), Beat: d.Beat})
	}
	return list
}

// DecodeDigests converts wire messages to member digests.
func DecodeDigests(pulses []*Pulse) []host.Digest {
	list := make([]host.Digest, 0, len(pulses))
	for _, p := range pulses {
		list = append(list, host.Digest{Hash: host.MemberHash(p.Id), Beat: p.Beat})
	}
	return list
}

// EncodeMemberHashes converts the hashes of digests that match no known member to their wire form.
func EncodeMemberHashes(hashes []host.MemberHash) []uint32 {
	list := make([]uint32, 0, len(hashes))
	for _, hash := range hashes {
		list = append(list, uint32(hash))
	}
	return list
}

// DecodeMemberHashes converts the hashes of digests that match no known member from their wire form.
func DecodeMemberHashes(hashes []uint32) []host.MemberHash {
	list := make([]host.MemberHash, 0, len(hashes))
	for _, hash := range hashes {
		list = append(list, host.MemberHash(hash))
	}
	return list
}
