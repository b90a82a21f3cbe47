package entry

import (
	"net/http"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
)

func toWire(members []host.Member) []*inner.Member {
	list := make([]*inner.Member, 0, len(members))
	for _, m := range members {
		list = append(list, &inner.Member{
			Name: m.Name, Listen: m.Listen, Inner: m.Inner, Domain: m.Domain, Region: m.Region, Incarnation: m.Incarnation,
			Beat: m.Beat, Leaving: m.Leaving, Note: int64(m.Note), Ready: m.Ready, Wants: toWireWants(m.Wants),
		})
	}
	return list
}

func fromWire(members []*inner.Member) []host.Member {
	list := make([]host.Member, 0, len(members))
	for _, m := range members {
		list = append(list, host.Member{
			Name: m.Name, Listen: m.Listen, Inner: m.Inner, Domain: m.Domain, Region: m.Region, Incarnation: m.Incarnation,
			Beat: m.Beat, Leaving: m.Leaving, Note: int(m.Note), Ready: m.Ready, Wants: fromWireWants(m.Wants),
		})
	}
	return list
}

func toWireWants(wants []host.Want) []*inner.Want {
	var list []*inner.Want
	for _, w := range wants {
		list = append(list, &inner.Want{Service: w.Service, Homes: uint32(w.Homes)})
	}
	return list
}

func fromWireWants(wants []*inner.Want) []host.Want {
	var list []host.Want
	for _, w := range wants {
		list = append(list, host.Want{Service: w.Service, Homes: int(w.Homes)})
	}
	return list
}

func toWirePulses(pulses []host.Pulse) []*inner.Pulse {
	list := make([]*inner.Pulse, 0, len(pulses))
	for _, p := range pulses {
		list = append(list, &inner.Pulse{Id: uint32(p.ID), Beat: p.Beat})
	}
	return list
}

func fromWirePulses(pulses []*inner.Pulse) []host.Pulse {
	list := make([]host.Pulse, 0, len(pulses))
	for _, p := range pulses {
		list = append(list, host.Pulse{ID: host.ID(p.Id), Beat: p.Beat})
	}
	return list
}

func toWireIDs(ids []host.ID) []uint32 {
	list := make([]uint32, 0, len(ids))
	for _, id := range ids {
		list = append(list, uint32(id))
	}
	return list
}

func fromWireIDs(ids []uint32) []host.ID {
	list := make([]host.ID, 0, len(ids))
	for _, id := range ids {
		list = append(list, host.ID(id))
	}
	return list
}

func (h *Host) offenders() []*inner.Quarantine {
	var list []*inner.Quarantine
	for _, o := range h.quarantine.List(h.now()) {
		list = append(list, &inner.Quarantine{Fingerprint: o.Fingerprint, RemainingMilliseconds: o.Remaining.Milliseconds(), Reason: o.Reason})
	}
	return list
}

func fromWireOffenders(quarantines []*inner.Quarantine) []claim.Offender {
	var list []claim.Offender
	for _, q := range quarantines {
		list = append(list, claim.Offender{Fingerprint: q.Fingerprint, Remaining: time.Duration(q.RemainingMilliseconds) * time.Millisecond, Reason: q.Reason})
	}
	return list
}

func toWireFields(fields []claim.Field) []*inner.Header {
	list := make([]*inner.Header, 0, len(fields))
	for _, f := range fields {
		list = append(list, &inner.Header{Name: f.Name, Value: f.Value})
	}
	return list
}

func fromWireFields(headers []*inner.Header) []claim.Field {
	list := make([]claim.Field, 0, len(headers))
	for _, f := range headers {
		list = append(list, claim.Field{Name: f.Name, Value: f.Value})
	}
	return list
}

func headerFields(header http.Header) []claim.Field {
	var list []claim.Field
	for name, values := range header {
		for _, value := range values {
			list = append(list, claim.Field{Name: name, Value: value})
		}
	}
	return list
}

func fieldsHeader(fields []claim.Field) http.Header {
	header := http.Header{}
	for _, f := range fields {
		header.Add(f.Name, f.Value)
	}
	return header
}
