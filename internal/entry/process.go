package entry

import (
	"runtime"
	"syscall"
	"time"
)

// ProcessStatus is the resource use of the host's process.
type ProcessStatus struct {
	// Core is the user and system processor time since the start, in nanoseconds.
	Core time.Duration
	// HeapBytes is the memory of allocated heap objects, SystemBytes all memory obtained from the operating system.
	HeapBytes   uint64
	SystemBytes uint64
	// Allocations counts the heap objects allocated since the start.
	Allocations uint64
	Goroutines  int
	// InnerSent and InnerReceived are the bytes of the RPCs that this host has called on peers.
	InnerSent     int64
	InnerReceived int64
	Uptime        time.Duration
}

func (h *Host) processStatus() ProcessStatus {
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	var usage syscall.Rusage
	// Getrusage cannot fail for the calling process.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return ProcessStatus{
		Core:      time.Duration(usage.Utime.Nano() + usage.Stime.Nano()),
		HeapBytes: memory.HeapAlloc, SystemBytes: memory.Sys, Allocations: memory.Mallocs, Goroutines: runtime.NumGoroutine(),
		InnerSent: h.client.BytesSent(), InnerReceived: h.client.BytesReceived(), Uptime: h.now(),
	}
}
