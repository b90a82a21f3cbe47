package entry

import (
	"runtime"
	"syscall"
	"time"
)

// ProcessStatus is what the host's process has used so far.
type ProcessStatus struct {
	// Core is the processor time, in nanoseconds.
	Core time.Duration
	// HeapBytes is the live heap, SystemBytes all memory taken from the system.
	HeapBytes   uint64
	SystemBytes uint64
	// Allocations counts all since the start.
	Allocations uint64
	Goroutines  int
	// InnerSent and InnerReceived are the bytes of the calls that this host made to peers.
	InnerSent     int64
	InnerReceived int64
	Uptime        time.Duration
}

func (h *Host) processStatus() ProcessStatus {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	var usage syscall.Rusage
	// Getrusage of the own process cannot fail.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return ProcessStatus{
		Core:      time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		HeapBytes: memory.HeapAlloc, SystemBytes: memory.Sys, Allocations: memory.Mallocs, Goroutines: runtime.NumGoroutine(),
		InnerSent: h.client.BytesSent(), InnerReceived: h.client.BytesReceived(), Uptime: h.now(),
	}
}
