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
	readBufferBytes  = 4 << 10
	writeBufferBytes = 2 << 10
	// maxInlineBody is the largest request body that is written before the answer is read.
	maxInlineBody = 16 << 10
)

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}
)

// errTooManySkipped reports more answers to other requests than a connection can be trusted with.
var errTooManySkipped = errors.New("too many answers to other requests")

// connection carries one request at a time.
type connection struct {
	net.Conn
	reader *bufio.Reader
	// bodySent is closed when a long request body has been sent, or could not be.
	bodySent chan struct{}
	// sendErr is why a long request body could not be sent; it is read after written.
	sendErr             error
	lastUsed, idleUntil time.Time
}

// interrupt ends all reading and writing at once.
func (c *connection) interrupt() {
	// The connection is dropped afterwards, whatever SetDeadline says.
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
}

// roundTrip sends a request and reads the head of its answer.
func (c *connection) roundTrip(r *http.Request, answers func(*http.Request, *http.Response) bool) (*http.Response, error) {
	c.reader = readerPool.Get().(*bufio.Reader)
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
	if r.ContentLength >= 0 && r.ContentLength <= maxInlineBody {
		return c.write(r)
	}
	c.bodySent = make(chan struct{})
	go func() {
		defer close(c.bodySent)
		c.sendErr = c.write(r)
	}()
	return nil
}

func (c *connection) write(r *http.Request) error {
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(c.Conn)
	defer writerPool.Put(w)
	if err := r.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// receive reads the head of the answer to the request; answers to other requests are read and dropped.
func (c *connection) receive(r *http.Request, answers func(*http.Request, *http.Response) bool) (*http.Response, error) {
	for range maxSkippedResponses {
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
	return nil, errTooManySkipped
}

// release gives the buffers back after a whole answer and reports whether the connection can carry another request.
func (c *connection) release() bool {
	if c.bodySent != nil {
		select {
		case <-c.bodySent:
			if c.sendErr != nil {
				return false
			}
		default:
			return false
		}
		c.bodySent = nil
	}
	if c.reader.Buffered() > 0 {
		// Bytes after a whole answer belong to no request.
		return false
	}
	c.reader.Reset(nil)
	readerPool.Put(c.reader)
	c.reader = nil
	return true
}
