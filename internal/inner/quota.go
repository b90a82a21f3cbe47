package inner

import (
	"time"

	"briarcroft/internal/quota"
)

// A QuotaRequest without demands asks for a vote in the election of the holder. The reply gives it by a lifetime.
//
// An entry without an account carries the number of the holder's term: the first demand in Used, and the first grant in Tokens.

// EncodeVoteRequest returns the message by which a start of a host asks for a vote.
func EncodeVoteRequest(sender string, incarnation uint64) *QuotaRequest {
	return &QuotaRequest{Sender: sender, Incarnation: incarnation}
}

// IsVoteRequest reports whether a message asks for a vote.
func IsVoteRequest(r *QuotaRequest) bool { return len(r.Demands) == 0 }

// EncodeVote returns the answer to such a message.
func EncodeVote(given bool) *QuotaReply {
	if !given {
		return &QuotaReply{}
	}
	return &QuotaReply{LifetimeMicroseconds: quota.VoteTime.Microseconds()}
}

// IsVote reports whether an answer gives a vote. One with a shorter lifetime than this host counts on is no vote.
func IsVote(r *QuotaReply) bool {
	return !r.Holder && r.LifetimeMicroseconds >= quota.VoteTime.Microseconds()
}

// EncodeQuotaRequest converts a home's request to its wire message.
func EncodeQuotaRequest(r quota.Request) *QuotaRequest {
	wire := &QuotaRequest{Sender: r.Sender, Incarnation: r.Incarnation, Sequence: r.Sequence, Demands: []*QuotaDemand{{Used: float64(r.Term)}}}
	for _, d := range r.Demands {
		wire.Demands = append(wire.Demands, &QuotaDemand{Account: d.Account, Wanted: d.Wanted, Used: d.Used, Returned: d.Returned})
	}
	return wire
}

// DecodeQuotaRequest converts a wire message to a home's request.
func DecodeQuotaRequest(wire *QuotaRequest) quota.Request {
	r := quota.Request{Sender: wire.Sender, Incarnation: wire.Incarnation, Sequence: wire.Sequence}
	for _, d := range wire.Demands {
		if d.Account == "" {
			r.Term = decodeTerm(d.Used)
			continue
		}
		r.Demands = append(r.Demands, quota.Demand{Account: d.Account, Wanted: d.Wanted, Used: d.Used, Returned: d.Returned})
	}
	return r
}

// EncodeQuotaReply converts the answer to a home's request to its wire message; holding is false if the host is not the holder.
func EncodeQuotaReply(r quota.Reply, holding bool) *QuotaReply {
	if !holding {
		return &QuotaReply{}
	}
	wire := &QuotaReply{Holder: true, LifetimeMicroseconds: quota.Lifetime.Microseconds(), Grants: []*QuotaGrant{{Tokens: float64(r.Term)}}}
	for _, g := range r.Grants {
		wire.Grants = append(wire.Grants, &QuotaGrant{Account: g.Account, Tokens: g.Tokens, WaitMicroseconds: g.Wait.Microseconds()})
	}
	return wire
}

// DecodeQuotaReply converts a wire message to the answer to a home's request. Tokens that live shorter than this host counts on are
// left out.
func DecodeQuotaReply(wire *QuotaReply) (r quota.Reply, holding bool) {
	for _, g := range wire.Grants {
		switch {
		case g.Account == "":
			r.Term = decodeTerm(g.Tokens)
		case wire.LifetimeMicroseconds >= quota.Lifetime.Microseconds():
			r.Grants = append(r.Grants, quota.Grant{Account: g.Account, Tokens: g.Tokens, Wait: time.Duration(g.WaitMicroseconds) * time.Microsecond})
		}
	}
	return r, wire.Holder
}

// decodeTerm returns the number of a term, or 0, which no holder has, for a value that is none.
func decodeTerm(term float64) uint64 {
	if term >= 1 && term < 1<<53 {
		return uint64(term)
	}
	return 0
}
