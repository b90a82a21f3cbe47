package inner

import (
	"time"

	"briarcroft/internal/quarantine"
)

// EncodeQuarantines converts quarantined requests to wire messages.
func EncodeQuarantines(requests []quarantine.Request) []*Quarantine {
	var encoded []*Quarantine
	for _, r := range requests {
		encoded = append(encoded, &Quarantine{Fingerprint: r.Fingerprint, RemainingMilliseconds: r.Remaining.Milliseconds(), Reason: r.Reason})
	}
	return encoded
}

// DecodeQuarantines converts wire messages to quarantined requests.
func DecodeQuarantines(quarantines []*Quarantine) []quarantine.Request {
	var decoded []quarantine.Request
	for _, q := range quarantines {
		decoded = append(decoded, quarantine.Request{Fingerprint: q.Fingerprint, Remaining: time.Duration(q.RemainingMilliseconds) * time.Millisecond, Reason: q.Reason})
	}
	return decoded
}
