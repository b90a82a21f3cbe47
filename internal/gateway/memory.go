package gateway

import (
	"net/http"

	"briarcroft/internal/settings"
)

// collectShare is the share of Host.MemoryMB in 100 from which garbage is collected harder.
const collectShare = 80

// CollectionLimit returns the memory in bytes from which garbage is to be collected harder; zero means that there is no limit.
func CollectionLimit(s settings.Settings) int64 {
	if s.Limits.MemoryBytes > 0 {
		return int64(s.Limits.MemoryBytes)
	}
	return s.Host.MemoryLimit() * collectShare / 100
}

// headerSize returns the size in bytes of the names and values of a header.
func headerSize(h http.Header) int64 {
	size := 0
	for name, values := range h {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return int64(size)
}
