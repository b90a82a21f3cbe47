package measure

import (
	"context"
	"time"

	"briarcroft/internal/entry"
)

// Control is what one idle host spends on control, per second.
type Control struct {
	Host string
	// CoreShare is the share of one core.
	CoreShare float64
	// SentPerSec and ReceivedPerSec are bytes of the host's own calls to peers.
	SentPerSec     float64
	ReceivedPerSec float64
	HeapBytes      uint64
	SystemBytes    uint64
	Goroutines     int
}

// RunControl watches hosts for a while without sending anything; errors are ErrHost.
func RunControl(ctx context.Context, hosts []string, length time.Duration) ([]Control, error) {
	before := make([]entry.ProcessStatus, len(hosts))
	for i, host := range hosts {
		var err error
		if before[i], err = process(ctx, host); err != nil {
			return nil, err
		}
	}
	wait(ctx, length)
	var list []Control
	for i, host := range hosts {
		after, err := process(ctx, host)
		if err != nil {
			return nil, err
		}
		seconds := (after.Uptime - before[i].Uptime).Seconds()
		list = append(list, Control{
			Host: host, CoreShare: (after.Core - before[i].Core).Seconds() / seconds,
			SentPerSec:     float64(after.InnerSent-before[i].InnerSent) / seconds,
			ReceivedPerSec: float64(after.InnerReceived-before[i].InnerReceived) / seconds,
			HeapBytes:      after.HeapBytes, SystemBytes: after.SystemBytes, Goroutines: after.Goroutines,
		})
	}
	return list, nil
}
