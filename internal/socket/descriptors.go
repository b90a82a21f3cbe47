package socket

import (
	"errors"
	"math"
	"os"

	"golang.org/x/sys/unix"
)

// Division of the descriptors of a host.
const (
	// Callers' connections leave one part in keptPart of the descriptors, and at least minKept unless that is more than a
	// fourth, for files, the store and what is opened suddenly; a fourth of what they leave is for refusals.
	keptPart = 8
	minKept  = 32
	// They also leave one part in otherPart, or what is open and a fourth more, for connections to targets and peers.
	otherPart = 4
)

// DescriptorLimit returns the number of descriptors that the process may have open: the configured one, unless that is 0 or the
// operating system allows fewer (RLIMIT_NOFILE). Zero means that it is not known.
func DescriptorLimit(configured int) int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil {
		return configured
	}
	allowed := int(min(limit.Cur, math.MaxInt32))
	if configured > 0 {
		return min(configured, allowed)
	}
	return allowed
}

// keptDescriptors returns how many descriptors callers' connections leave for files, the store, pages and sudden needs.
func keptDescriptors(descriptors int) int {
	return max(descriptors/keptPart, min(minKept, descriptors/4))
}

// CallerLimit returns how many connections callers may have while others are open to targets and peers.
func CallerLimit(descriptors, others int) int {
	if descriptors == 0 {
		return math.MaxInt32
	}
	return max(1, descriptors-keptDescriptors(descriptors)-max(descriptors/otherPart, others+others/4))
}

// RefusalSlots returns how many connections beyond the limit may wait for their refusal.
func RefusalSlots(descriptors int) int { return max(1, keptDescriptors(descriptors)/4) }

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

// IsOutOfDescriptors reports whether a connection could not be opened because the process or the system has no descriptor left.
func IsOutOfDescriptors(err error) bool {
	return errors.Is(err, unix.EMFILE) || errors.Is(err, unix.ENFILE)
}
