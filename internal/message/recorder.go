package message

import (
	"bufio"
	"bytes"
	"sync"
)

// buffers pools the buffers of recorders.
var buffers = sync.Pool{New: func() any { return &bytes.Buffer{} }}

// headEnd ends a head, unless its lines end without CR.
var headEnd = []byte("\r\n\r\n")

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

// Begin returns what has arrived and is the head, and more, if all of the head has. Otherwise it returns nil and records until End is called.
func (r *Recorder) Begin(reader *bufio.Reader) (head []byte) {
	arrived, _ := reader.Peek(reader.Buffered())
	if bytes.Contains(arrived, headEnd) {
		return arrived
	}
	r.received = buffers.Get().(*bytes.Buffer)
	r.received.Reset()
	r.received.Write(arrived)
	return nil
}

// End ends the recording and returns what was recorded, and the function that releases it.
func (r *Recorder) End() (head []byte, release func()) {
	received := r.received
	r.received = nil
	return received.Bytes(), func() { buffers.Put(received) }
}
