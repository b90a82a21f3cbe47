package message

import (
	"bufio"
	"bytes"
	"sync"
)

// buffers pools the buffers of recorders.
var buffers = sync.Pool{New: func() any { return &bytes.Buffer{} }}

// Recorder gives the bytes of a head as they were received to a check, while a reader of net/http parses them. The connection under the
// buffered reader passes what it reads to Record.
type Recorder struct {
	// received is nil unless a head is recorded.
	received *bytes.Buffer
}

// Record adds bytes that were read from the connection.
func (r *Recorder) Record(p []byte) {
	if r.received != nil {
		r.received.Write(p)
	}
}

// Arrived returns what the buffered reader holds.
func Arrived(reader *bufio.Reader) []byte {
	// What is held can be returned.
	arrived, _ := reader.Peek(reader.Buffered())
	return arrived
}

// Begin records until End is called, beginning with what has arrived.
func (r *Recorder) Begin(arrived []byte) {
	r.received = buffers.Get().(*bytes.Buffer)
	r.received.Reset()
	r.received.Write(arrived)
}

// End ends the recording and returns what was recorded, and the function that releases it.
func (r *Recorder) End() (head []byte, release func()) {
	received := r.received
	r.received = nil
	return received.Bytes(), func() { buffers.Put(received) }
}
