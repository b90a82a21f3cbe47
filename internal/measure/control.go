package measure

import (
	"context"
	"time"

	"briarcroft/internal/entry"
)

// IdleUsage is the resource usage of an entry host that serves no requests: the overhead of health probes, heartbeats and
// other control traffic.
type IdleUsage struct {
	Host string
	// CoreShare is the processor time used, as a share of one core.
	CoreShare float64
	// SentPerSec and ReceivedPerSec are the bytes per second of the calls that the host made to peers. Calls that peers made
	// to it are not included.
	SentPerSec     float64
	ReceivedPerSec float64
	// HeapBytes is the memory of heap objects, including garbage that is not freed yet, and SystemBytes all memory
	// obtained from the operating system, both at the end.
	HeapBytes   uint64
	SystemBytes uint64
	Goroutines  int
}

// RunIdle measures the usage of hosts over a duration, during which it sends them no requests. Errors are ErrNoStatus.
func RunIdle(ctx context.Context, hosts []string, duration time.Duration) ([]IdleUsage, error) {
	before := make([]entry.ProcessStatus, len(hosts))
	for i, host := range hosts {
		var err error
		if before[i], err = processStatus(ctx, host); err != nil {
			return nil, err
		}
	}
	sleep(ctx, duration)
	var usages []IdleUsage
	for i, host := range hosts {
		after, err := processStatus(ctx, host)
		if err != nil {
			return nil, err
		}
		seconds := (after.Uptime - before[i].Uptime).Seconds()
		usages = append(usages, IdleUsage{
			Host: host, CoreShare: (after.Core - before[i].Core).Seconds() / seconds,
			SentPerSec:     float64(after.InnerSent-before[i].InnerSent) / seconds,
			ReceivedPerSec: float64(after.InnerReceived-before[i].InnerReceived) / seconds,
			HeapBytes:      after.HeapBytes, SystemBytes: after.SystemBytes, Goroutines: after.Goroutines,
		})
	}
	return usages, nil
}
