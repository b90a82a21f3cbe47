package backend

import (
	"bufio"
	"cmp"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"briarcroft/internal/message"

	"github.com/cespare/xxhash/v2"
)

const (
	// readBufferBytes and writeBufferBytes are the sizes of a connection's buffers. Only a connection with a request in
	// flight has buffers; idle ones return them to a pool.
	readBufferBytes  = 4 << 10
	writeBufferBytes = 2 << 10
	// maxInlineBody is the largest request body in bytes that is written completely before the response is read. Larger
	// bodies and those of unknown length are written while the response is read.
	maxInlineBody = 16 << 10
	// maxHeadBytes bounds the header of each response, and maxSkippedBytes the bodies of the responses that are skipped
	// before the one to a request. A backend server that sends more is cut off; bodies that are passed on have no bound.
	maxHeadBytes    = 64 << 10
	maxSkippedBytes = 1 << 20
	// maxSkipTime is how long such a body may take. One that was cut may have no end, or take the response for its rest.
	maxSkipTime = 500 * time.Millisecond
	// rememberedIDs is the number of last requests whose IDs a connection remembers. A further response to one of them may
	// arrive late, so none is sent again there.
	rememberedIDs = 16
)

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	writerPool = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}
)

var (
	// errTooManySkipped reports that maxSkippedResponses responses were received and none of them belongs to the request.
	errTooManySkipped = errors.New("too many responses to other requests")
	errTooSlowSkipped = errors.New("the body of a response to another request does not end")
	errTooManyBytes   = errors.New("more bytes than a response may have")
	errUnidentified   = errors.New("a response without the ID of the request")
	// errUnknownEnd reports a response to another request that may or may not have had the method HEAD, so that its end is unknown.
	errUnknownEnd        = errors.New("a response to another request whose end is unknown")
	errSwitchesProtocols = errors.New("a change of the protocol that was not asked for")
	errMerged            = errors.New("a head in the middle of which another one begins")
)

// expected is the response that a request expects.
type expected struct {
	// idOf is Config.ID, id the ID of the request, and once is Options.Once.
	idOf func(http.Header) string
	id   string
	once bool
	// alone is set for a request that has no ID although others have: its connection carries no other request.
	alone bool
}

// connection is a connection to a backend server, which carries one request at a time.
type connection struct {
	net.Conn
	// bounded is set while only allowed more bytes may be read from Conn, and exceeded once there were more.
	bounded, exceeded bool
	allowed           int
	// reader is nil while the connection is idle.
	reader *bufio.Reader
	// bodySent is closed when the request has been written or writing it has failed; it is nil if the request was written
	// before its response was read.
	bodySent chan struct{}
	// sendErr is why the request could not be written; it may be read once bodySent is nil or closed.
	sendErr error
	// writing is held while Conn is written to. It guards writeErr, the first error of such a write.
	writing  sync.Mutex
	writeErr error
	// head records heads of responses while they are read.
	head message.Recorder
	// ids holds the hashes of the IDs of the last requests, and count is the number of all requests.
	ids   [rememberedIDs]uint64
	count int
	// heads is set once a request had the method HEAD, and others once one had another method.
	heads, others bool
	// lastUsed is when the last response was read completely; the connection must not be used after idleUntil.
	lastUsed, idleUntil time.Time
}

// Read reads from the network connection for the buffered reader, within the bound that is in force. The error is io.EOF only if the
// backend server has closed its side.
func (c *connection) Read(p []byte) (int, error) {
	if c.bounded {
		if c.allowed <= 0 {
			c.exceeded = true
			return 0, errTooManyBytes
		}
		p = p[:min(len(p), c.allowed)]
	}
	n, err := c.Conn.Read(p)
	if c.bounded {
		c.allowed -= n
	}
	c.head.Record(p[:n])
	if err == io.EOF {
		err = c.endError()
	}
	return n, err
}

// Write writes to the network connection for the buffered writer.
func (c *connection) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	c.writeErr = cmp.Or(c.writeErr, err)
	return n, err
}

// ReadFrom implements io.ReaderFrom, so that the buffered writer writes large bodies in large parts.
func (c *connection) ReadFrom(r io.Reader) (int64, error) {
	return io.Copy(struct{ io.Writer }{c}, r)
}

// endError returns io.EOF if the backend server has closed its side, or the error that a write got. The kernel reports the error of a
// connection, such as a reset, only once: after a write got it, a read finds an end.
func (c *connection) endError() error {
	if c.bodySent != nil {
		// The response ends here, so the rest of the body is not needed. A write that is cut off got no error of the connection.
		_ = c.Conn.SetWriteDeadline(time.Unix(1, 0))
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.writeErr == nil || errors.Is(c.writeErr, os.ErrDeadlineExceeded) {
		return io.EOF
	}
	return c.writeErr
}

// interrupt makes all pending and future reads and writes fail. It is called when the context of a request ends.
func (c *connection) interrupt() {
	// The connection is closed afterwards, so an error makes no difference.
	_ = c.Conn.SetDeadline(time.Unix(1, 0))
}

// carried reports whether one of the last requests had the ID.
func (c *connection) carried(id string) bool {
	return id != "" && slices.Contains(c.ids[:min(c.count, rememberedIDs)], xxhash.Sum64String(id))
}

// roundTrip sends a request and reads the header of its response.
func (c *connection) roundTrip(r *http.Request, e expected) (*http.Response, error) {
	c.reader = readerPool.Get().(*bufio.Reader)
	c.reader.Reset(c)
	c.ids[c.count%rememberedIDs] = xxhash.Sum64String(e.id)
	c.count++
	c.heads = c.heads || r.Method == http.MethodHead
	c.others = c.others || r.Method != http.MethodHead
	c.send(r)
	response, err := c.receive(r, e)
	if err != nil && c.bodySent == nil && c.sendErr != nil && !errors.Is(err, errUnidentified) {
		return nil, c.sendErr
	}
	return response, err
}

// send writes the request. A request whose body is large or of unknown length is written in the background, since the
// backend server may respond before it has read the whole body.
func (c *connection) send(r *http.Request) {
	if r.ContentLength >= 0 && r.ContentLength <= maxInlineBody {
		c.sendErr = c.write(r)
		return
	}
	c.bodySent = make(chan struct{})
	go func() {
		defer close(c.bodySent)
		c.sendErr = c.write(r)
	}()
}

func (c *connection) write(r *http.Request) error {
	w := writerPool.Get().(*bufio.Writer)
	w.Reset(c)
	defer writerPool.Put(w)
	if err := r.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// receive reads the header of the response to the request. Informational responses and responses to other requests are
// skipped.
func (c *connection) receive(r *http.Request, e expected) (*http.Response, error) {
	skipped := 0
	for range maxSkippedResponses {
		response, err := c.readHead(r)
		switch {
		case err != nil:
			return nil, err
		case isMerged(response):
			return nil, errMerged
		case response.StatusCode == http.StatusSwitchingProtocols:
			return nil, errSwitchesProtocols
		case response.StatusCode < http.StatusOK:
			continue
		}
		belongs, err := c.belongs(response, e)
		if err != nil {
			return nil, err
		}
		if belongs {
			c.bounded = false
			return response, nil
		}
		c.allowed = maxSkippedBytes - skipped
		timer := time.AfterFunc(maxSkipTime, c.interrupt)
		n, err := io.Copy(io.Discard, response.Body)
		skipped += int(n)
		if !timer.Stop() || err != nil {
			return nil, cmp.Or(err, errTooSlowSkipped)
		}
	}
	return nil, errTooManySkipped
}

// readHead reads the head of a response and checks it. An error in the head is a message.ResponseError.
func (c *connection) readHead(r *http.Request) (*http.Response, error) {
	c.bounded, c.allowed = true, maxHeadBytes
	if c.reader.Buffered() == 0 {
		// After an error there is nothing to parse, which has the same error.
		_, _ = c.reader.Peek(1)
	}
	arrived := message.Arrived(c.reader)
	complete, problem := message.CheckResponseHead(arrived)
	if complete && problem != nil {
		return nil, problem
	}
	if !complete {
		c.head.Begin(arrived)
	}
	response, err := http.ReadResponse(c.reader, r)
	if !complete {
		head, release := c.head.End()
		defer release()
		complete, problem = message.CheckResponseHead(head)
	}
	switch {
	case problem != nil:
		return nil, problem
	case err != nil && complete:
		return nil, message.ErrMalformed
	}
	return response, err
}

// isMerged reports whether another response begins within the head of a response, as behind one that was cut. The fields may be those of
// either.
func isMerged(response *http.Response) bool {
	if strings.Contains(response.Status, "HTTP/1.") {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// statusLine matches the beginning of the status line of a response.
var statusLine = regexp.MustCompile(`HTTP/1\.[0-9] [0-9]{3}`)

// belongs reports whether a response belongs to the request. If it does not, it belongs to an earlier one and can be skipped.
func (c *connection) belongs(response *http.Response, e expected) (bool, error) {
	if e.idOf == nil {
		return true, nil
	}
	id := e.idOf(response.Header)
	switch {
	case id == e.id:
		return true, nil
	case e.alone, id == "" && (!e.once || c.count == 1):
		// The response can be no other request's, or the request can be sent elsewhere.
		return false, errUnidentified
	case c.heads && c.others:
		return false, errUnknownEnd
	}
	return false, nil
}

// release returns the buffers to the pool after a complete response and reports whether the connection can be reused.
func (c *connection) release() bool {
	if c.bodySent != nil {
		select {
		case <-c.bodySent:
		default:
			return false
		}
		c.bodySent = nil
	}
	if c.sendErr != nil {
		return false
	}
	if c.reader.Buffered() > 0 {
		// Data after the end of the response belongs to no request.
		return false
	}
	c.reader.Reset(nil)
	readerPool.Put(c.reader)
	c.reader = nil
	return true
}
