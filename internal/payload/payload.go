// Package payload holds the bodies of requests and responses in memory, within budgets that follow from the memory of the host.
package payload

import (
	"errors"
	"io"
	"sync/atomic"

	"briarcroft/internal/settings"
)

// Sizes in bytes of what requests hold in memory.
const (
	// MinPart and maxPart are the sizes of the smallest and the largest part of a payload of unknown length.
	MinPart = 4 << 10
	maxPart = 256 << 10
	// ShortSize is the size up to which a payload finds room beyond the limit of its budget, so that short requests are
	// served while long ones fill it.
	ShortSize = 16 << 10
)

// Shares of Host.MemoryMB in 100.
const (
	// RequestShare and ResponseShare are the shares that the bodies of requests and those of responses may take.
	RequestShare  = 35
	ResponseShare = 15
)

// Budget bounds the memory that the bodies of requests, or those of responses, take. Sizes are in bytes.
type Budget struct {
	limit int64
	used  atomic.Int64
}

// defaultBudget is the size of a budget in bytes without Limits.HeldBytes and Host.MemoryMB.
const defaultBudget = 64 << 20

// NewBudget returns a budget of a share of the host's memory, or of Limits.HeldBytes if that is less.
func NewBudget(s settings.Settings, share int64) *Budget {
	limit := s.Host.MemoryLimit() * share / 100
	held := int64(s.Limits.HeldBytes)
	if limit == 0 {
		limit = max(held, defaultBudget)
	}
	if held > 0 {
		limit = min(limit, held)
	}
	return &Budget{limit: limit}
}

// LimitFor returns how much may be in use after a payload has grown to a size.
func (b *Budget) LimitFor(size int64) int64 {
	if size <= ShortSize {
		return b.limit + b.limit/8
	}
	return b.limit
}

// Acquire reserves n bytes for a payload that grows to a size, and reports whether there was room.
func (b *Budget) Acquire(n, size int64) bool {
	if b.used.Add(n) > b.LimitFor(size) && n > 0 {
		b.used.Add(-n)
		return false
	}
	return true
}

// HasRoom reports whether a payload of a size finds room at present.
func (b *Budget) HasRoom(size int64) bool { return b.used.Load()+size <= b.LimitFor(size) }

// Overdraw counts n bytes that are in memory whether there is room or not.
func (b *Budget) Overdraw(n int64) { b.used.Add(n) }

// Release gives back n bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Used returns the bytes in use.
func (b *Budget) Used() int64 { return b.used.Load() }

// Full reports whether there is no room left for any but short payloads.
func (b *Budget) Full() bool { return b.used.Load() >= b.limit }

// ErrNoRoom reports that the budget of a payload has no room for more of it.
var ErrNoRoom = errors.New("no memory is left for the body")

// Payload is the body of a request or of a response. It consists of parts, each of which counts in the budget before it is
// filled, and that are not copied when the payload grows. A nil payload is empty.
type Payload struct {
	parts [][]byte
	size  int64
	// held is what was reserved of the budget, which is nil in a response of this host itself.
	budget *Budget
	held   int64
	// Overdraws makes the payload grow although the budget has no room.
	Overdraws bool
}

// New returns a payload that holds nothing of a budget.
func New(content []byte) *Payload {
	return &Payload{parts: [][]byte{content}, size: int64(len(content))}
}

// NewBudgeted returns an empty payload that counts with the size of the head of its request or response, which is in memory
// already.
func NewBudgeted(budget *Budget, head int64) *Payload {
	budget.Overdraw(head)
	return &Payload{budget: budget, held: head}
}

// Length returns the size in bytes.
func (p *Payload) Length() int64 {
	if p == nil {
		return 0
	}
	return p.size
}

// Release returns the memory to the budget. It may be called more than once.
func (p *Payload) Release() {
	if p != nil && p.held > 0 {
		p.budget.Release(p.held)
		p.held = 0
	}
}

// grow adds an empty part of the given capacity. The error is ErrNoRoom.
func (p *Payload) grow(n int64) error {
	switch {
	case p.Overdraws:
		p.budget.Overdraw(n)
	case !p.budget.Acquire(n, p.size+n):
		return ErrNoRoom
	}
	p.held += n
	p.parts = append(p.parts, make([]byte, 0, n))
	return nil
}

// Fill reads until the end of r or until the payload has limit bytes, and reports whether that was the end. The length is that
// which r is known to have, or below zero. The error is ErrNoRoom if the budget has no room for the next part; what was read
// until then is in the payload.
func (p *Payload) Fill(r io.Reader, length, limit int64) (ended bool, err error) {
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
func (p *Payload) nextPart(length, most int64) int64 {
	n := max(MinPart, min(p.size, maxPart))
	if length >= 0 {
		n = max(ShortSize, n)
	}
	return min(n, most-p.size)
}

// Reader returns a reader of the content.
func (p *Payload) Reader() io.ReadCloser {
	if p == nil {
		return &reader{}
	}
	return &reader{parts: p.parts}
}

// Bytes returns the content in one piece. It is a copy if the payload has more than one part.
func (p *Payload) Bytes() []byte {
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

// CopyTo writes the content, each part by itself.
func (p *Payload) CopyTo(w io.Writer) error {
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

// reader reads the parts of a payload.
type reader struct {
	parts [][]byte
	// offset is the number of bytes of the first part that were read.
	offset int
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
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
func (r *reader) Close() error { return nil }
