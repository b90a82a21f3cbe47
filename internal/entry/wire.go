package entry

import (
	"net/http"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/inner"
)

// quarantinesToWire returns the requests that this host has in quarantine, as sent in heartbeats.
func (h *Host) quarantinesToWire() []*inner.Quarantine {
	var list []*inner.Quarantine
	for _, o := range h.quarantine.List(h.now()) {
		list = append(list, &inner.Quarantine{Fingerprint: o.Fingerprint, RemainingMilliseconds: o.Remaining.Milliseconds(), Reason: o.Reason})
	}
	return list
}

func quarantinesFromWire(quarantines []*inner.Quarantine) []claim.Offender {
	var list []claim.Offender
	for _, q := range quarantines {
		list = append(list, claim.Offender{Fingerprint: q.Fingerprint, Remaining: time.Duration(q.RemainingMilliseconds) * time.Millisecond, Reason: q.Reason})
	}
	return list
}

func fieldsToWire(fields []claim.Field) []*inner.Header {
	list := make([]*inner.Header, 0, len(fields))
	for _, f := range fields {
		list = append(list, &inner.Header{Name: f.Name, Value: f.Value})
	}
	return list
}

func fieldsFromWire(headers []*inner.Header) []claim.Field {
	list := make([]claim.Field, 0, len(headers))
	for _, f := range headers {
		list = append(list, claim.Field{Name: f.Name, Value: f.Value})
	}
	return list
}

func fieldsFromHeader(header http.Header) []claim.Field {
	var list []claim.Field
	for name, values := range header {
		for _, value := range values {
			list = append(list, claim.Field{Name: name, Value: value})
		}
	}
	return list
}

func headerFromFields(fields []claim.Field) http.Header {
	header := http.Header{}
	for _, f := range fields {
		header.Add(f.Name, f.Value)
	}
	return header
}
