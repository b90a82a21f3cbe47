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

func fromWireOffenders(quarantines []*inner.Quarantine) []idempotency.Offender {
	var list []idempotency.Offender
	for _, q := range quarantines {
		list = append(list, idempotency.Offender{Fingerprint: q.Fingerprint, Remaining: time.Duration(q.RemainingMilliseconds) * time.Millisecond, Reason: q.Reason})
	}
	return list
}

func toWireFields(fields []idempotency.Field) []*inner.Header {
	list := make([]*inner.Header, 0, len(fields))
	for _, f := range fields {
		list = append(list, &inner.Header{Name: f.Name, Value: f.Value})
	}
	return list
}

func fromWireFields(headers []*inner.Header) []idempotency.Field {
	list := make([]idempotency.Field, 0, len(headers))
	for _, f := range headers {
		list = append(list, idempotency.Field{Name: f.Name, Value: f.Value})
	}
	return list
}

func headerFields(header http.Header) []idempotency.Field {
	var list []idempotency.Field
	for name, values := range header {
		for _, value := range values {
			list = append(list, idempotency.Field{Name: name, Value: value})
		}
	}
	return list
}

func fieldsHeader(fields []idempotency.Field) http.Header {
	header := http.Header{}
	for _, f := range fields {
		header.Add(f.Name, f.Value)
	}
	return header
}
