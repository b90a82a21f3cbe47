package entry

import (
	"net/http"
	"time"

	"briarcroft/internal/idempotency"
	"briarcroft/internal/inner"
)

func (h *Host) offenders() []*inner.Quarantine {
	var list []*inner.Quarantine
	for _, o := range h.quarantine.List(h.now()) {
		list = append(list, &inner.Quarantine{Fingerprint: o.Fingerprint, RemainingMilliseconds: o.Remaining.Milliseconds(), Reason: o.Reason})
	}
	return list
}

func fromWireOffenders(quarantines []*inner.Quarantine) []idempotency.QuarantinedRequest {
	var list []idempotency.QuarantinedRequest
	for _, q := range quarantines {
		list = append(list, idempotency.QuarantinedRequest{Fingerprint: q.Fingerprint, Remaining: time.Duration(q.RemainingMilliseconds) * time.Millisecond, Reason: q.Reason})
	}
	return list
}

func toWireFields(fields []idempotency.HeaderField) []*inner.Header {
	list := make([]*inner.Header, 0, len(fields))
	for _, f := range fields {
		list = append(list, &inner.Header{Name: f.Name, Value: f.Value})
	}
	return list
}

func fromWireFields(headers []*inner.Header) []idempotency.HeaderField {
	list := make([]idempotency.HeaderField, 0, len(headers))
	for _, f := range headers {
		list = append(list, idempotency.HeaderField{Name: f.Name, Value: f.Value})
	}
	return list
}

func headerFields(header http.Header) []idempotency.HeaderField {
	var list []idempotency.HeaderField
	for name, values := range header {
		for _, value := range values {
			list = append(list, idempotency.HeaderField{Name: name, Value: value})
		}
	}
	return list
}

func fieldsHeader(fields []idempotency.HeaderField) http.Header {
	header := http.Header{}
	for _, f := range fields {
		header.Add(f.Name, f.Value)
	}
	return header
}
