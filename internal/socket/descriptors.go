package socket

import (
	"math"
	"os"

	"golang.org/x/sys/unix"
)

// DescriptorLimit returns the number of descriptors that the process may have open (RLIMIT_NOFILE), or 0 if it is not known.
func DescriptorLimit() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// OpenDescriptors returns the number of descriptors that the process has open, or 0 if it is not known.
func OpenDescriptors() int {
	directory, err := os.Open("/proc/self/fd")
	if err != nil {
		return 0
	}
	defer directory.Close()
	names, err := directory.Readdirnames(-1)
	if err != nil {
		return 0
	}
	// One of them is that of the directory.
	return len(names) - 1
}
