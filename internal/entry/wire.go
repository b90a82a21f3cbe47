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

func quarantinesFromWire(quarantines []*inner.Quarantine) []claim.QuarantinedRequest {
	var list []claim.QuarantinedRequest
	for _, q := range quarantines {
		list = append(list, claim.QuarantinedRequest{Fingerprint: q.Fingerprint, Remaining: time.Duration(q.RemainingMilliseconds) * time.Millisecond, Reason: q.Reason})
	}
	return list
}

func fieldsToWire(fields []claim.HeaderField) []*inner.Header {
	list := make([]*inner.Header, 0, len(fields))
	for _, f := range fields {
		list = append(list, &inner.Header{Name: f.Name, Value: f.Value})
	}
	return list
}

func fieldsFromWire(headers []*inner.Header) []claim.HeaderField {
	list := make([]claim.HeaderField, 0, len(headers))
	for _, f := range headers {
		list = append(list, claim.HeaderField{Name: f.Name, Value: f.Value})
	}
	return list
}

func fieldsFromHeader(header http.Header) []claim.HeaderField {
	var list []claim.HeaderField
	for name, values := range header {
		for _, value := range values {
			list = append(list, claim.HeaderField{Name: name, Value: value})
		}
	}
	return list
}

func headerFromFields(fields []claim.HeaderField) http.Header {
	header := http.Header{}
	for _, f := range fields {
		header.Add(f.Name, f.Value)
	}
	return header
}
