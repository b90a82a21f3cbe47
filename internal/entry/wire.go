package entry

import (
	"net/http"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/inner"
)

// quarantinesToWire returns the requests that this host has in quarantine, as sent in heartbeats.
func (h *Host) quarantinesToWire() []*inner.Quarantine {
	var encoded []*inner.Quarantine
	for _, o := range h.quarantine.List(h.now()) {
		encoded = append(encoded, &inner.Quarantine{Fingerprint: o.Fingerprint, RemainingMilliseconds: o.Remaining.Milliseconds(), Reason: o.Reason})
	}
	return encoded
}

func quarantinesFromWire(quarantines []*inner.Quarantine) []claim.QuarantinedRequest {
	var decoded []claim.QuarantinedRequest
	for _, q := range quarantines {
		decoded = append(decoded, claim.QuarantinedRequest{Fingerprint: q.Fingerprint, Remaining: time.Duration(q.RemainingMilliseconds) * time.Millisecond, Reason: q.Reason})
	}
	return decoded
}

func fieldsToWire(fields []claim.HeaderField) []*inner.Header {
	encoded := make([]*inner.Header, 0, len(fields))
	for _, f := range fields {
		encoded = append(encoded, &inner.Header{Name: f.Name, Value: f.Value})
	}
	return encoded
}

func fieldsFromWire(headers []*inner.Header) []claim.HeaderField {
	decoded := make([]claim.HeaderField, 0, len(headers))
	for _, f := range headers {
		decoded = append(decoded, claim.HeaderField{Name: f.Name, Value: f.Value})
	}
	return decoded
}

func fieldsFromHeader(header http.Header) []claim.HeaderField {
	var fields []claim.HeaderField
	for name, values := range header {
		for _, value := range values {
			fields = append(fields, claim.HeaderField{Name: name, Value: value})
		}
	}
	return fields
}

func headerFromFields(fields []claim.HeaderField) http.Header {
	header := http.Header{}
	for _, f := range fields {
		header.Add(f.Name, f.Value)
	}
	return header
}
