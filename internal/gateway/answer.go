package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"briarcroft/internal/payload"
	"briarcroft/internal/placement"
)

// Sizes in bytes of responses.
const (
	// maxBufferedResponse is the size below which a response is read completely before any of it is sent to the caller, so
	// that the request can still be retried if the response is truncated.
	maxBufferedResponse = 1 << 20
	// maxFailureBytes is the size below which an error response of unknown length must stay.
	maxFailureBytes = 64 << 10
	// copyBytes and minCopyBytes are the sizes of the buffer for responses that are passed on while they are read, the latter while
	// no memory is left for responses.
	copyBytes    = 32 << 10
	minCopyBytes = 4 << 10
)

// callerResponse is the response to a caller.
type callerResponse struct {
	status int
	header http.Header
	body   *payload.Payload
	// unread is what follows body in a response that was not read completely; otherwise it is nil.
	unread io.ReadCloser
	// length is the whole body's size in bytes; it is below zero when unknown.
	length int64
	// reason explains a response that this host made itself; it is empty for a response of a target.
	reason string
}

// localResponse returns a response of this host itself; retryAfter is zero where a retry cannot help.
func localResponse(status int, reason string, retryAfter time.Duration) *callerResponse {
	r := &callerResponse{status: status, header: http.Header{}, reason: reason}
	r.header.Set("Content-Type", "text/plain; charset=utf-8")
	r.header.Set("Briarcroft-Reason", reason)
	if retryAfter > 0 {
		r.header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	r.body = payload.New([]byte(reason + "\n"))
	r.length = r.body.Length()
	return r
}

// release returns the memory of a response to the budget, and closes its connection if it was not read completely.
func (r *callerResponse) release() {
	r.body.Release()
	if r.unread != nil {
		// What was not read is not needed, so an error makes no difference.
		_ = r.unread.Close()
	}
}

// refusalResponse returns the response to a request that no target has run or will run.
func refusalResponse(r placement.Refused) *callerResponse {
	status := http.StatusServiceUnavailable
	if r.Reason == placement.ReasonAllowanceSpent {
		status = http.StatusTooManyRequests
	}
	return localResponse(status, string(r.Reason), r.RetryAfter)
}

// writeResponse sends a response and reports whether all of it was sent. After one that was not, nothing more is sent on the
// connection: the caller would take it for the rest of the truncated response.
func (c *callerConn) writeResponse(q *request, r *callerResponse, closing bool) bool {
	if c.truncated.Load() {
		return false
	}
	if err := c.sendResponse(q, r, closing); err != nil {
		c.truncate(endsWithConnection(q, r))
		return false
	}
	return true
}

// endsWithConnection reports whether nothing but the end of the connection tells the caller where a response ends.
func endsWithConnection(q *request, r *callerResponse) bool { return q.oldVersion && r.length < 0 }

// truncate ends sending after a response that was not sent completely. The caller sees the end of the connection at once, or its reset
// if an end would look like that of the response. Requests that were accepted and not yet sent to a target are canceled.
func (c *callerConn) truncate(reset bool) {
	c.truncated.Store(true)
	c.cancel()
	if reset {
		if conn, ok := c.conn.Conn.(interface{ SetLinger(seconds int) error }); ok {
			// An error means that the connection has ended already.
			_ = conn.SetLinger(0)
		}
		_ = c.conn.Conn.Close()
		return
	}
	if closer, ok := c.conn.Conn.(interface{ CloseWrite() error }); ok {
		// An error does not matter: the connection is closed completely when its requests have ended.
		_ = closer.CloseWrite()
		return
	}
	_ = c.conn.Conn.Close()
}

// errBodyTooShort reports that the body of a response is shorter than its announced length.
var errBodyTooShort = errors.New("the body of the response is shorter than its length")

// sendResponse writes a response to the connection.
func (c *callerConn) sendResponse(q *request, r *callerResponse, closing bool) error {
	conn := c.conn.Conn
	_ = conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	w := callerWriters.Get().(*bufio.Writer)
	w.Reset(conn)
	defer callerWriters.Put(w)
	if err := writeResponseHead(w, q, r, closing); err != nil {
		return err
	}
	switch {
	case q.method == http.MethodHead || !bodyAllowed(r.status):
		return w.Flush()
	case r.unread != nil && r.length < 0 && !q.oldVersion:
		return c.writeChunked(w, r)
	}
	writer := stallWriter{c, w}
	if err := r.body.CopyTo(writer); err != nil {
		return err
	}
	switch {
	case r.unread != nil && r.length < 0:
		if _, err := c.copyUnread(writer, r.unread); err != nil {
			return err
		}
	case r.unread != nil:
		rest := r.length - r.body.Length()
		n, err := c.copyUnread(writer, io.LimitReader(r.unread, rest))
		if err != nil {
			return err
		}
		if n < rest {
			return errBodyTooShort
		}
	}
	return w.Flush()
}

// bodyAllowed reports whether a response with the status has a body.
func bodyAllowed(status int) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// writeResponseHead writes the status line and the header fields.
func writeResponseHead(w *bufio.Writer, q *request, r *callerResponse, closing bool) error {
	if _, err := fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", r.status, http.StatusText(r.status)); err != nil {
		return err
	}
	r.header.Del("Content-Length")
	switch {
	case !bodyAllowed(r.status), endsWithConnection(q, r):
	case r.length < 0:
		r.header.Set("Transfer-Encoding", "chunked")
	default:
		r.header.Set("Content-Length", strconv.FormatInt(r.length, 10))
	}
	if closing || q.closeAfter {
		r.header.Set("Connection", "close")
	}
	if err := r.header.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// writeChunked sends a response of unknown length. After a read error the last chunk is left out, so that the caller
// recognizes the response as incomplete.
func (c *callerConn) writeChunked(w *bufio.Writer, r *callerResponse) error {
	chunks := chunkWriter{c, w}
	if err := r.body.CopyTo(chunks); err != nil {
		return err
	}
	if _, err := c.copyUnread(chunks, r.unread); err != nil {
		return err
	}
	if _, err := w.WriteString("0\r\n\r\n"); err != nil {
		return err
	}
	return w.Flush()
}

// copyUnread copies what was not read of a response. The buffer is small while no memory is left for responses.
func (c *callerConn) copyUnread(w io.Writer, unread io.Reader) (int64, error) {
	budget, size := c.gateway.responses, int64(copyBytes)
	if budget.Acquire(size, size) {
		defer budget.Release(size)
	} else {
		size = minCopyBytes
	}
	return io.CopyBuffer(w, unread, make([]byte, size))
}

// chunkWriter writes each slice as one chunk of the chunked transfer encoding.
type chunkWriter struct {
	c *callerConn
	w *bufio.Writer
}

// Write implements io.Writer.
func (w chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := fmt.Fprintf(w.w, "%x\r\n", len(p)); err != nil {
		return 0, err
	}
	n, err := stallWriter(w).Write(p)
	if err != nil {
		return n, err
	}
	_, err = w.w.WriteString("\r\n")
	return n, err
}

// stallWriter extends the write deadline by stallTimeout before each write.
type stallWriter struct {
	c *callerConn
	w *bufio.Writer
}

// Write implements io.Writer.
func (w stallWriter) Write(p []byte) (int, error) {
	_ = w.c.conn.Conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	return w.w.Write(p)
}
