package inner

import (
	"math"
	"time"

	"briarcroft/internal/host"
)

// EncodeMembers converts members to wire messages.
func EncodeMembers(members []host.Member) []*Member {
	encoded := make([]*Member, 0, len(members))
	for _, m := range members {
		encoded = append(encoded, &Member{
			Name: m.Name, Listen: m.Listen, Inner: m.Inner, Domain: m.Domain, Region: m.Region, Incarnation: m.Incarnation,
			Beat: m.Beat, Leaving: m.Leaving, Note: int64(m.Note), Ready: m.Ready, Wants: encodeWants(m.Wants), StoreLost: m.StoreLost,
			AgeMilliseconds: encodeAge(m.Age, m.KnowsAge), MilliCores: m.MilliCores, LinkMbps: m.LinkMbps, TargetsLost: m.TargetsLost,
		})
	}
	return encoded
}

// DecodeMembers converts wire messages to members.
func DecodeMembers(members []*Member) []host.Member {
	decoded := make([]host.Member, 0, len(members))
	for _, m := range members {
		age, knowsAge := decodeAge(m.AgeMilliseconds)
		decoded = append(decoded, host.Member{
			Name: m.Name, Listen: m.Listen, Inner: m.Inner, Domain: m.Domain, Region: m.Region, Incarnation: m.Incarnation,
			Beat: m.Beat, Leaving: m.Leaving, Note: int(m.Note), Ready: m.Ready, Wants: decodeWants(m.Wants), StoreLost: m.StoreLost,
			Age: age, KnowsAge: knowsAge, MilliCores: m.MilliCores, LinkMbps: m.LinkMbps, TargetsLost: m.TargetsLost,
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
		encoded = append(encoded, &Pulse{Id: uint32(d.Hash), Beat: d.Beat, AgeMilliseconds: encodeAge(d.Age, d.KnowsAge)})
	}
	return encoded
}

// DecodeDigests converts wire messages to member digests.
func DecodeDigests(pulses []*Pulse) []host.Digest {
	decoded := make([]host.Digest, 0, len(pulses))
	for _, p := range pulses {
		age, knowsAge := decodeAge(p.AgeMilliseconds)
		decoded = append(decoded, host.Digest{Hash: host.MemberHash(p.Id), Beat: p.Beat, Age: age, KnowsAge: knowsAge})
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

// encodeAge converts an age to its wire form, in which zero means that it is not known.
func encodeAge(age time.Duration, known bool) uint32 {
	if !known {
		return 0
	}
	return uint32(min(math.MaxUint32, max(0, age.Milliseconds())+1))
}

func decodeAge(encoded uint32) (age time.Duration, known bool) {
	if encoded == 0 {
		return 0, false
	}
	return time.Duration(encoded-1) * time.Millisecond, true
}

func encodeViews(views []host.ViewHash) []*DomainView {
	var encoded []*DomainView
	for _, v := range views {
		encoded = append(encoded, &DomainView{Domain: v.Domain, Members: uint32(v.Members), Count: uint32(v.Count)})
	}
	return encoded
}

func decodeViews(views []*DomainView) []host.ViewHash {
	var decoded []host.ViewHash
	for _, v := range views {
		decoded = append(decoded, host.ViewHash{Domain: v.Domain, Members: host.MemberHash(v.Members), Count: int(v.Count)})
	}
	return decoded
}
