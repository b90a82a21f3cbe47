package inner

import "briarcroft/internal/host"

// EncodeMembers converts members to wire messages.
func EncodeMembers(members []host.Member) []*Member {
	encoded := make([]*Member, 0, len(members))
	for _, m := range members {
		encoded = append(encoded, &Member{
			Name: m.Name, Listen: m.Listen, Inner: m.Inner, Domain: m.Domain, Region: m.Region, Incarnation: m.Incarnation,
			Beat: m.Beat, Leaving: m.Leaving, Note: int64(m.Note), Ready: m.Ready, Wants: encodeWants(m.Wants), StoreLost: m.StoreLost,
		})
	}
	return encoded
}

// DecodeMembers converts wire messages to members.
func DecodeMembers(members []*Member) []host.Member {
	decoded := make([]host.Member, 0, len(members))
	for _, m := range members {
		decoded = append(decoded, host.Member{
			Name: m.Name, Listen: m.Listen, Inner: m.Inner, Domain: m.Domain, Region: m.Region, Incarnation: m.Incarnation,
			Beat: m.Beat, Leaving: m.Leaving, Note: int(m.Note), Ready: m.Ready, Wants: decodeWants(m.Wants), StoreLost: m.StoreLost,
		})
	}
	return decoded
}

func encodeWants(wants []host.HomeDemand) []*Want {
	var encoded []*Want
	for _, w := range wants {
		encoded = append(encoded, &Want{Service: w.Service, Homes: uint32(w.Homes)})
	}
	return encoded
}

func decodeWants(wants []*Want) []host.HomeDemand {
	var decoded []host.HomeDemand
	for _, w := range wants {
		decoded = append(decoded, host.HomeDemand{Service: w.Service, Homes: int(w.Homes)})
	}
	return decoded
}

// EncodeDigests converts member digests to wire messages; a digest is called a pulse on the wire.
func EncodeDigests(digests []host.Digest) []*Pulse {
	encoded := make([]*Pulse, 0, len(digests))
	for _, d := range digests {
		encoded = append(encoded, &Pulse{Id: uint32(d.Hash), Beat: d.Beat})
	}
	return encoded
}

// DecodeDigests converts wire messages to member digests.
func DecodeDigests(pulses []*Pulse) []host.Digest {
	decoded := make([]host.Digest, 0, len(pulses))
	for _, p := range pulses {
		decoded = append(decoded, host.Digest{Hash: host.MemberHash(p.Id), Beat: p.Beat})
	}
	return decoded
}

// EncodeMemberHashes converts the hashes of digests that match no known member to their wire form.
func EncodeMemberHashes(hashes []host.MemberHash) []uint32 {
	encoded := make([]uint32, 0, len(hashes))
	for _, hash := range hashes {
		encoded = append(encoded, uint32(hash))
	}
	return encoded
}

// DecodeMemberHashes converts the hashes of digests that match no known member from their wire form.
func DecodeMemberHashes(hashes []uint32) []host.MemberHash {
	decoded := make([]host.MemberHash, 0, len(hashes))
	for _, hash := range hashes {
		decoded = append(decoded, host.MemberHash(hash))
	}
	return decoded
}
