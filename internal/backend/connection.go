package backend

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Sizes of a connection's buffers; they are held only while a request is under way.
const (
	readBytes  = 4 << 10
	writeBytes = 2 << 10
	// smallBody is the largest request body that is written before the answer is read.
	smallBody = 16 << 10
)

var (
	readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBytes) }}
	writers = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBytes) }}
)

// errStray reports more answers to other requests than a connection can be trusted with.
var errStray = errors.New("too many answers to other requests")

// connection carries one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// written is closed when a long request body has been sent, or could not be.
	written chan struct{}
	// failed is why a long request body could not be sent; it is read after written.
	failed              error
	provenAt, goodUntil time.Time
}

// interrupt ends all reading and writing at once.
func (c *connection) interrupt() {
	// The connection is dropped afterwards, whatever SetDeadline says.
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
}

// exchange sends a request and reads the head of its answer.
func (c *connection) exchange(r *http.Request, answers func(*http.Request, *http.Response) bool) (*http.Response, error) {
	c.reader = readers.Get().(*bufio.Reader)
	c.reader.Reset(c.Conn)
	sent := c.send(r)
	response, err := c.receive(r, answers)
	if err != nil && sent != nil {
		return nil, sent
	}
	return response, err
}

// send writes the request; a long body goes on beside the answer, which may come before all of it was read.
func (c *connection) send(r *http.Request) error {
	if r.ContentLength >= 0 && r.ContentLength <= smallBody {
		return c.write(r)
	}
	c.written = make(chan struct{})
	go func() {
		defer close(c.written)
		c.failed = c.write(r)
	}()
	return nil
}

func (c *connection) write(r *http.Request) error {
	w := writers.Get().(*bufio.Writer)
	w.Reset(c.Conn)
	defer writers.Put(w)
	if err := r.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// receive reads the head of the answer to the request; answers to other requests are read and dropped.
func (c *connection) receive(r *http.Request, answers func(*http.Request, *http.Response) bool) (*http.Response, error) {
	for range mostSkipped {
		response, err := http.ReadResponse(c.reader, r)
		switch {
		case err != nil:
			return nil, err
		case response.StatusCode < http.StatusOK && response.StatusCode != http.StatusSwitchingProtocols:
			continue
		case answers == nil || answers(r, response):
			return response, nil
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, err
		}
	}
	return nil, errStray
}

// release gives the buffers back after a whole answer and reports whether the connection can carry another request.
func (c *connection) release() bool {
	if c.written != nil {
		select {
		case <-c.written:
			if c.failed != nil {
				return false
			}
		default:
			return false
		}
		c.written = nil
	}
	if c.reader.Buffered() > 0 {
		// Bytes after a whole answer belong to no request.
		return false
	}
	c.reader.Reset(nil)
	readers.Put(c.reader)
	c.reader = nil
	return true
}
