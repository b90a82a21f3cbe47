package gateway

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"briarcroft/internal/placement"
)

// wholeBytes is the largest answer that is read whole before its caller sees a byte, so that a cut one can be asked for again.
const wholeBytes = 1 << 20

// answer is what a caller gets.
type answer struct {
	status int
	header http.Header
	body   []byte
	// rest is what follows body of an answer too large to hold; its length is unknown when length is below zero.
	rest   io.ReadCloser
	length int64
	// reason explains an answer of the host's own; it is empty for a target's.
	reason string
}

// own returns an answer of the host's own; retryAfter is zero where coming back makes no sense.
func own(status int, reason string, retryAfter time.Duration) *answer {
	a := &answer{status: status, header: http.Header{}, reason: reason}
	a.header.Set("Content-Type", "text/plain; charset=utf-8")
	a.header.Set("Briarcroft-Reason", reason)
	if retryAfter > 0 {
		a.header.Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	a.body = []byte(reason + "\n")
	a.length = int64(len(a.body))
	return a
}

// refused returns the answer for a request that was not run and will not be.
func refused(r placement.Refused) *answer {
	return own(http.StatusServiceUnavailable, string(r.Reason), r.RetryAfter)
}

// write sends an answer and reports whether all of it was sent.
func (c *callerConn) write(q *request, a *answer, closing bool) bool {
	conn := c.metered.Conn
	_ = conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	w := callerWriters.Get().(*bufio.Writer)
	w.Reset(conn)
	defer callerWriters.Put(w)
	if a.rest != nil {
		defer a.rest.Close()
	}
	if err := writeHead(w, q, a, closing); err != nil {
		return false
	}
	if q.method == http.MethodHead {
		return w.Flush() == nil
	}
	if a.rest != nil && a.length < 0 {
		return c.writeChunked(w, a) == nil
	}
	if _, err := w.Write(a.body); err != nil {
		return false
	}
	if a.rest != nil {
		n, err := io.Copy(stallWriter{c, w}, a.rest)
		if err != nil || int64(len(a.body))+n != a.length {
			return false
		}
	}
	return w.Flush() == nil
}

func writeHead(w *bufio.Writer, q *request, a *answer, closing bool) error {
	if _, err := fmt.Fprintf(w, "HTTP/1.1 %d %s\r\n", a.status, http.StatusText(a.status)); err != nil {
		return err
	}
	a.header.Del("Content-Length")
	switch {
	case a.status == http.StatusNoContent || a.status == http.StatusNotModified:
	case a.length < 0:
		a.header.Set("Transfer-Encoding", "chunked")
	default:
		a.header.Set("Content-Length", strconv.FormatInt(a.length, 10))
	}
	if closing || q.last {
		a.header.Set("Connection", "close")
	}
	if err := a.header.Write(w); err != nil {
		return err
	}
	_, err := w.WriteString("\r\n")
	return err
}

// writeChunked sends an answer of unknown length; without its last chunk it does not look complete.
func (c *callerConn) writeChunked(w *bufio.Writer, a *answer) error {
	chunks := chunkWriter{c, w}
	if _, err := chunks.Write(a.body); err != nil {
		return err
	}
	if _, err := io.Copy(chunks, a.rest); err != nil {
		return err
	}
	if _, err := w.WriteString("0\r\n\r\n"); err != nil {
		return err
	}
	return w.Flush()
}

// chunkWriter writes each piece as one chunk.
type chunkWriter struct {
	c *callerConn
	w *bufio.Writer
}

// Write implements io.Writer.
func (k chunkWriter) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if _, err := fmt.Fprintf(k.w, "%x\r\n", len(p)); err != nil {
		return 0, err
	}
	n, err := stallWriter(k).Write(p)
	if err != nil {
		return n, err
	}
	_, err = k.w.WriteString("\r\n")
	return n, err
}

// stallWriter gives the caller new time with each piece.
type stallWriter struct {
	c *callerConn
	w *bufio.Writer
}

// Write implements io.Writer.
func (s stallWriter) Write(p []byte) (int, error) {
	_ = s.c.metered.Conn.SetWriteDeadline(time.Now().Add(stallTimeout))
	return s.w.Write(p)
}
