package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"

	"briarcroft/internal/settings"
)

// Sizes in bytes of what requests hold in memory.
const (
	// minPartBytes and maxPartBytes are the sizes of the smallest and the largest part of a payload of unknown length.
	minPartBytes = 4 << 10
	maxPartBytes = 256 << 10
	// shortPayload is the size up to which a payload finds room beyond the limit of its budget, so that short requests are
	// served while long ones fill it.
	shortPayload = 16 << 10
)

// Shares of Host.MemoryMB in 100.
const (
	// requestShare and responseShare are the shares that the bodies of requests and those of responses may take.
	requestShare  = 35
	responseShare = 15
	// collectShare is the share from which garbage is collected harder.
	collectShare = 80
)

// CollectionLimit returns the memory in bytes from which garbage is to be collected harder; zero means that there is no limit.
func CollectionLimit(s settings.Settings) int64 {
	if s.Limits.MemoryBytes > 0 {
		return int64(s.Limits.MemoryBytes)
	}
	return s.Host.MemoryLimit() * collectShare / 100
}

// memoryBudget bounds the memory that the bodies of requests, or those of responses, take. Sizes are in bytes.
type memoryBudget struct {
	limit int64
	used  atomic.Int64
}

// defaultBudget is the size of a budget in bytes without Limits.HeldBytes and Host.MemoryMB.
const defaultBudget = 64 << 20

// newMemoryBudget returns a budget of a share of the host's memory, or of Limits.HeldBytes if that is less.
func newMemoryBudget(s settings.Settings, share int64) *memoryBudget {
	limit := s.Host.MemoryLimit() * share / 100
	held := int64(s.Limits.HeldBytes)
	if limit == 0 {
		limit = max(held, defaultBudget)
	}
	if held > 0 {
		limit = min(limit, held)
	}
	return &memoryBudget{limit: limit}
}

// limitFor returns how much may be in use after a payload has grown to a size.
func (b *memoryBudget) limitFor(size int64) int64 {
	if size <= shortPayload {
		return b.limit + b.limit/8
	}
	return b.limit
}

// acquire reserves n bytes for a payload that grows to a size, and reports whether there was room.
func (b *memoryBudget) acquire(n, size int64) bool {
	if b.used.Add(n) > b.limitFor(size) && n > 0 {
		b.used.Add(-n)
		return false
	}
	return true
}

// hasRoom reports whether a payload of a size finds room at present.
func (b *memoryBudget) hasRoom(size int64) bool { return b.used.Load()+size <= b.limitFor(size) }

// overdraw counts n bytes that are in memory whether there is room or not.
func (b *memoryBudget) overdraw(n int64) { b.used.Add(n) }

func (b *memoryBudget) release(n int64) { b.used.Add(-n) }

// full reports whether there is no room left for any but short payloads.
func (b *memoryBudget) full() bool { return b.used.Load() >= b.limit }

// errNoRoom reports that the budget of a payload has no room for more of it.
var errNoRoom = errors.New("no memory is left for the body")

// payload is the body of a request or of a response. It consists of parts, each of which counts in the budget before it is
// filled, and that are not copied when the payload grows. A nil payload is empty.
type payload struct {
	parts [][]byte
	size  int64
	// held is what was reserved of the budget, which is nil in a response of this host itself.
	budget *memoryBudget
	held   int64
	// overdraws makes the payload grow although the budget has no room.
	overdraws bool
}

// newPayload returns a payload that holds nothing of a budget.
func newPayload(content []byte) *payload {
	return &payload{parts: [][]byte{content}, size: int64(len(content))}
}

// newBudgetedPayload returns an empty payload that counts with the size of the head of its request or response, which is in memory
// already.
func newBudgetedPayload(budget *memoryBudget, head int64) *payload {
	budget.overdraw(head)
	return &payload{budget: budget, held: head}
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

// length returns the size in bytes.
func (p *payload) length() int64 {
	if p == nil {
		return 0
	}
	return p.size
}

// release returns the memory to the budget. It may be called more than once.
func (p *payload) release() {
	if p != nil && p.held > 0 {
		p.budget.release(p.held)
		p.held = 0
	}
}

// grow adds an empty part of the given capacity. The error is errNoRoom.
func (p *payload) grow(n int64) error {
	switch {
	case p.overdraws:
		p.budget.overdraw(n)
	case !p.budget.acquire(n, p.size+n):
		return errNoRoom
	}
	p.held += n
	p.parts = append(p.parts, make([]byte, 0, n))
	return nil
}

// fill reads until the end of r or until the payload has limit bytes, and reports whether that was the end. The length is that
// which r is known to have, or below zero. The error is errNoRoom if the budget has no room for the next part; what was read
// until then is in the payload.
func (p *payload) fill(r io.Reader, length, limit int64) (ended bool, err error) {
	most := limit
	if length >= 0 {
		most = min(limit, length)
	}
	for !ended && p.size < most {
		last := len(p.parts) - 1
		if last < 0 || len(p.parts[last]) == cap(p.parts[last]) {
			if err := p.grow(p.nextPart(length, most)); err != nil {
				return false, err
			}
			last = len(p.parts) - 1
		}
		part := p.parts[last]
		n, err := r.Read(part[len(part):cap(part)])
		p.parts[last] = part[:len(part)+n]
		p.size += int64(n)
		if ended = err == io.EOF; err != nil && !ended {
			return false, err
		}
	}
	if ended && p.size < length {
		return false, io.ErrUnexpectedEOF
	}
	if !ended && length >= 0 && length <= limit {
		// Nothing but the end follows. A body that is reused with its connection must be read to its end.
		_, _ = io.ReadFull(r, make([]byte, 1))
		ended = true
	}
	return ended, nil
}

// nextPart returns the capacity of the next part of a payload that grows to at most the given size.
func (p *payload) nextPart(length, most int64) int64 {
	n := max(minPartBytes, min(p.size, maxPartBytes))
	if length >= 0 {
		n = max(shortPayload, n)
	}
	return min(n, most-p.size)
}

// reader returns a reader of the content.
func (p *payload) reader() io.ReadCloser {
	if p == nil {
		return &payloadReader{}
	}
	return &payloadReader{parts: p.parts}
}

// bytes returns the content in one piece. It is a copy if the payload has more than one part.
func (p *payload) bytes() []byte {
	switch {
	case p == nil || len(p.parts) == 0:
		return nil
	case len(p.parts) == 1:
		return p.parts[0]
	}
	joined := make([]byte, 0, p.size)
	for _, part := range p.parts {
		joined = append(joined, part...)
	}
	return joined
}

// writeTo writes the content, each part by itself.
func (p *payload) writeTo(w io.Writer) error {
	if p == nil {
		return nil
	}
	for _, part := range p.parts {
		if _, err := w.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// payloadReader reads the parts of a payload.
type payloadReader struct {
	parts [][]byte
	// offset is the number of bytes of the first part that were read.
	offset int
}

// Read implements io.Reader.
func (r *payloadReader) Read(p []byte) (int, error) {
	n := 0
	for n < len(p) && len(r.parts) > 0 {
		copied := copy(p[n:], r.parts[0][r.offset:])
		n += copied
		if r.offset += copied; r.offset == len(r.parts[0]) {
			r.parts, r.offset = r.parts[1:], 0
		}
	}
	if n == 0 && len(r.parts) == 0 {
		return 0, io.EOF
	}
	return n, nil
}

// Close implements io.Closer.
func (r *payloadReader) Close() error { return nil }
