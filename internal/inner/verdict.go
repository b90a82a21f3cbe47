package inner

import (
	"time"

	"briarcroft/internal/notice"
	"briarcroft/internal/placement"
)

// EncodeVerdict converts a home's verdict on a request to its wire message. The number identifies the request on its
// placement stream.
func EncodeVerdict(number uint64, v placement.Verdict) *PlaceVerdict {
	switch v := v.(type) {
	case placement.Placed:
		return encodePlaced(number, VerdictKind_Placed, v)
	case placement.Hedge:
		return encodePlaced(number, VerdictKind_Hedge, placement.Placed(v))
	case placement.Refused:
		return &PlaceVerdict{
			Number: number, Kind: VerdictKind_Refused, Reason: string(v.Reason), RetryAfterMicroseconds: v.RetryAfter.Microseconds(),
			Waiting: uint32(v.Waiting), Slots: uint32(v.Slots), ExpectedMicroseconds: v.Expected.Microseconds(),
			TurnMicroseconds: v.Turn.Microseconds(), Free: uint32(v.Free),
		}
	}
	return &PlaceVerdict{Number: number, Kind: VerdictKind_Queued}
}

func encodePlaced(number uint64, kind VerdictKind, p placement.Placed) *PlaceVerdict {
	return &PlaceVerdict{
		Number: number, Kind: kind, Target: p.Target, Address: p.Address,
		ExpectedMicroseconds: p.Expected.Microseconds(), KnowledgeAgeMicroseconds: p.KnowledgeAge.Microseconds(),
	}
}

// DecodeVerdict converts a wire message to a home's verdict; it returns nil for a keep-alive message.
func DecodeVerdict(wire *PlaceVerdict) placement.Verdict {
	switch wire.Kind {
	case VerdictKind_Placed:
		return decodePlaced(wire)
	case VerdictKind_Hedge:
		return placement.Hedge(decodePlaced(wire))
	case VerdictKind_Queued:
		return placement.Queued{}
	case VerdictKind_Refused:
		return placement.Refused{
			Reason: placement.Reason(wire.Reason), RetryAfter: microseconds(wire.RetryAfterMicroseconds),
			Waiting: int(wire.Waiting), Slots: int(wire.Slots), Expected: microseconds(wire.ExpectedMicroseconds),
			Turn: microseconds(wire.TurnMicroseconds), Free: int(wire.Free),
		}
	}
	return nil
}

func decodePlaced(wire *PlaceVerdict) placement.Placed {
	return placement.Placed{
		Target: wire.Target, Address: wire.Address,
		Expected: microseconds(wire.ExpectedMicroseconds), KnowledgeAge: microseconds(wire.KnowledgeAgeMicroseconds),
	}
}

// EncodePlaceAsk converts a placement request to its wire message. Goal and deadline become durations from now, because
// the clocks of two hosts differ.
func EncodePlaceAsk(now time.Duration, r *placement.Request) *PlaceAsk {
	return &PlaceAsk{
		Class: r.Class, Priority: uint32(r.Priority), GoalMicroseconds: (r.Goal - now).Microseconds(),
		DeadlineMicroseconds: (r.Deadline - now).Microseconds(), Repeatable: r.Repeatable, Tried: r.Tried,
		Fingerprint: r.Fingerprint, SharedFingerprints: r.SharedFingerprints, Domain: r.Domain, Probes: uint32(r.Probes),
		Account: r.Account, AccountPriority: uint32(r.AccountPriority), AgeMicroseconds: r.Age.Microseconds(),
	}
}

// DecodePlaceAsk converts a wire message that was received at now to a placement request with times on this host's clock.
func DecodePlaceAsk(now time.Duration, id placement.RequestID, wire *PlaceAsk) *placement.Request {
	return &placement.Request{
		ID: id, Class: wire.Class, Priority: int(wire.Priority), Goal: now + microseconds(wire.GoalMicroseconds),
		Deadline: now + microseconds(wire.DeadlineMicroseconds), Repeatable: wire.Repeatable, Tried: wire.Tried,
		Fingerprint: wire.Fingerprint, SharedFingerprints: wire.SharedFingerprints, Domain: wire.Domain, Probes: int(wire.Probes),
		Account: wire.Account, AccountPriority: int(wire.AccountPriority), Age: microseconds(wire.AgeMicroseconds),
	}
}

// EncodeRunEnd converts the end of a run, which is one attempt of a request on a target, to its wire message.
func EncodeRunEnd(end placement.RunEnd) *RunEnd {
	wire := &RunEnd{Target: end.Target, Outcome: uint32(end.Outcome), TookMicroseconds: end.Duration.Microseconds(), Bytes: uint32(end.Bytes), RateLimit: end.RateLimit, Leaving: end.Notice.Leaving, PauseMilliseconds: milliseconds(end.Notice.Pause)}
	if l := end.Load; l != nil {
		wire.Load = &TargetLoad{Running: uint32(l.Running), Waiting: uint32(l.Waiting), Slots: uint32(l.Slots), Pace: l.Pace}
	}
	return wire
}

// DecodeRunEnd converts a wire message to the end of a run of the request with the given ID.
func DecodeRunEnd(id placement.RequestID, wire *RunEnd) placement.RunEnd {
	end := placement.RunEnd{ID: id, Target: wire.Target, Outcome: placement.Outcome(wire.Outcome), Duration: microseconds(wire.TookMicroseconds), Bytes: int(wire.Bytes), RateLimit: wire.RateLimit}
	end.Notice = notice.Notice{Leaving: wire.Leaving, Pause: time.Duration(wire.PauseMilliseconds) * time.Millisecond}
	if l := wire.Load; l != nil {
		end.Load = &placement.LoadReport{Running: int(l.Running), Waiting: int(l.Waiting), Slots: int(l.Slots), Pace: l.Pace}
	}
	return end
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
