package inner

import (
	"time"

	"briarcroft/internal/notice"
)

// EncodeNotices converts what targets say of themselves to wire messages.
func EncodeNotices(reports []notice.Report) []*TargetNotice {
	var encoded []*TargetNotice
	for _, r := range reports {
		encoded = append(encoded, &TargetNotice{Target: r.Target, Incarnation: r.Incarnation, Leaving: r.Leaving, PauseMilliseconds: milliseconds(r.Pause)})
	}
	return encoded
}

// DecodeNotices converts wire messages to what targets say of themselves.
func DecodeNotices(notices []*TargetNotice) []notice.Report {
	var decoded []notice.Report
	for _, n := range notices {
		decoded = append(decoded, notice.Report{
			Key:    notice.Key{Target: n.Target, Incarnation: n.Incarnation},
			Notice: notice.Notice{Leaving: n.Leaving, Pause: time.Duration(n.PauseMilliseconds) * time.Millisecond},
		})
	}
	return decoded
}

// milliseconds rounds up, so that no pause ends before its time.
func milliseconds(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
