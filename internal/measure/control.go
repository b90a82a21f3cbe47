package measure

import (
	"context"
	"time"

	"briarcroft/internal/entry"
)

// IdleUsage is what one idle host spends on control, per second.
type IdleUsage struct {
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

// MeasureIdle watches hosts for a while without sending anything; errors are ErrNoStatus.
func MeasureIdle(ctx context.Context, hosts []string, duration time.Duration) ([]IdleUsage, error) {
	before := make([]entry.ProcessStatus, len(hosts))
	for i, host := range hosts {
		var err error
		if before[i], err = processStatus(ctx, host); err != nil {
			return nil, err
		}
	}
	sleep(ctx, duration)
	var list []IdleUsage
	for i, host := range hosts {
		after, err := processStatus(ctx, host)
		if err != nil {
			return nil, err
		}
		seconds := (after.Uptime - before[i].Uptime).Seconds()
		list = append(list, IdleUsage{
			Host: host, CoreShare: (after.Core - before[i].Core).Seconds() / seconds,
			SentPerSec:     float64(after.InnerSent-before[i].InnerSent) / seconds,
			ReceivedPerSec: float64(after.InnerReceived-before[i].InnerReceived) / seconds,
			HeapBytes:      after.HeapBytes, SystemBytes: after.SystemBytes, Goroutines: after.Goroutines,
		})
	}
	return list, nil
}
