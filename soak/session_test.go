package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"time"

	"briarcroft/platform/standin"
)

// Times of callers.
const (
	// timeLimit is how long callers wait for a response, as their requests state, and the timeout of the routes. Patient callers
	// wait for longLimit, longer than a stop takes, and may take patientPause until they use a connection that they have opened.
	timeLimit    = 2 * time.Second
	longLimit    = 6 * time.Second
	patientPause = 1500 * time.Millisecond
	// connectTimeout limits the time to open a connection.
	connectTimeout = time.Second
	// endNoticeTime is how long after the end of a process the test may take to notice it.
	endNoticeTime = 500 * time.Millisecond
	// bulkBytes is the size of the body of a bulk uploader, below the limit of the configuration.
	bulkBytes = 900 << 10
	// maxPipelined is the largest number of requests that a caller sends before the first of them is answered.
	maxPipelined = 4
)

// callerKind says how a caller uses its connection.
type callerKind int

// Kinds of callers.
const (
	// serialCaller sends one request after the other.
	serialCaller callerKind = iota
	// pipeliningCaller sends several safe requests before it reads the response to the first of them.
	pipeliningCaller
	// uploadingCaller sends bodies, some of them in chunks and some slowly.
	uploadingCaller
	// slowReader asks for large responses and reads them slowly.
	slowReader
	// bulkUploader sends one large body in chunks.
	bulkUploader
	// patientCaller sends requests that take long, and each only some time after its connection could be used.
	patientCaller
)

// allCallers lists the kinds of callers of a run, by their share.
var allCallers = []callerKind{serialCaller, serialCaller, serialCaller, pipeliningCaller, pipeliningCaller, pipeliningCaller, uploadingCaller, uploadingCaller, slowReader, patientCaller, patientCaller}

// sentRequest is one request that was sent on a connection, with what the caller saw.
type sentRequest struct {
	id, method, path string
	// unsafe is set for a request that must not run more than once.
	unsafe bool
	// body is kept until it is sent. bodySize and bodySum are its size in bytes and its CRC-32.
	body     []byte
	bodySize int
	bodySum  uint32
	chunked  bool
	// pieces is the number of parts in which the body is sent, and pause the time between two of them.
	pieces int
	pause  time.Duration

	incarnation *incarnation
	// limit is how long the caller waits for the response, as the request states.
	limit time.Duration
	// kept is set if an earlier request of the connection was answered, behind if an earlier one was not yet when this one was sent.
	kept, behind bool
	// began is when the request was begun, sent when its last byte was sent and ended when its response or the connection ended.
	began, sent, ended time.Time
	// complete is set if the whole response was received, and begun if its head was.
	complete, begun bool
	// cutByStop is set if the response says that a stop has canceled the run.
	cutByStop bool
	// behindClose is set if an earlier response announced the end of the connection, and behindBroken if one was broken off.
	behindClose, behindBroken bool
	status                    int
	err                       error
}

// span returns the time from the request's first byte to its end.
func (q *sentRequest) span() timeSpan { return timeSpan{q.began, q.ended} }

// isRefused reports whether the response states that the request was not run.
func (q *sentRequest) isRefused() bool {
	switch q.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return q.complete
	}
	return false
}

// session is a caller's connection to a host, which the caller keeps until the host closes it.
type session struct {
	run    *soakRun
	kind   callerKind
	in     *incarnation
	conn   net.Conn
	reader *bufio.Reader
	// answered is the number of responses.
	answered int
}

// runCaller opens one connection after the other to random hosts until the context ends. It uses each until the host closes it.
func (r *soakRun) runCaller(ctx context.Context) {
	for ctx.Err() == nil {
		s := r.openSession(r.hosts[r.intN(len(r.hosts))], r.callers[r.intN(len(r.callers))])
		if s == nil {
			time.Sleep(r.randomDuration(5*time.Millisecond, 50*time.Millisecond))
			continue
		}
		s.pause()
		for ctx.Err() == nil && s.exchange() {
			s.pause()
			time.Sleep(r.randomDuration(0, 100*time.Millisecond))
			if r.intN(10) == 0 {
				r.checkNoRollback(s.in)
			}
		}
		_ = s.conn.Close()
	}
}

// pause waits before a patient caller uses its connection.
func (s *session) pause() {
	if s.kind == patientCaller {
		time.Sleep(s.run.randomDuration(0, patientPause))
	}
}

// openSession connects to a host, and returns nil if that is not possible.
func (r *soakRun) openSession(p *process, kind callerKind) *session {
	if p.isDisrupted() {
		return nil
	}
	in := p.current()
	sound := in.isSound()
	dialer := net.Dialer{Timeout: connectTimeout}
	if kind == slowReader {
		dialer.Control = setReceiveBuffer
	}
	conn, err := dialer.Dial("tcp", p.listen)
	switch {
	case err != nil:
		select {
		case <-in.exited:
		case <-time.After(endNoticeTime):
			if sound && in.isSound() {
				r.reportViolation("END: %s accepts no connection: %v", p.name, err)
			}
		}
		return nil
	case p.current() != in:
		_ = conn.Close()
		return nil
	}
	return &session{run: r, kind: kind, in: in, conn: conn, reader: bufio.NewReader(conn)}
}

// setReceiveBuffer makes a connection's receive buffer small, so that the sender notices a reader that is slow.
func setReceiveBuffer(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		// With a larger buffer the reader is only less noticeable.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
	})
}

// exchange sends the next requests and reads their responses. It reports whether the connection can be used further.
func (s *session) exchange() bool {
	if s.isClosedByHost() {
		return false
	}
	batch := s.nextRequests()
	s.run.recordRequests(batch)
	err := s.send(batch)
	for i, q := range batch {
		if err == nil || i == 0 {
			s.receive(q)
		} else {
			q.err, q.ended = err, time.Now()
		}
		if !q.complete {
			for _, next := range batch[i+1:] {
				next.behindBroken, next.ended, next.err = q.begun, q.ended, q.err
			}
			return false
		}
		s.answered++
		if q.behindClose {
			for _, next := range batch[i+1:] {
				next.behindClose, next.ended = true, q.ended
			}
			return false
		}
	}
	return err == nil
}

// isClosedByHost reports whether the host has closed the connection, on which no request waits for a response. It reports a
// violation if the host has sent anything instead.
func (s *session) isClosedByHost() bool {
	_ = s.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	head, err := s.reader.Peek(1)
	switch {
	case len(head) > 0:
		rest, _ := s.reader.Peek(s.reader.Buffered())
		s.run.reportViolation("MIXED: %s sent %.80q although no request waits", s.in.host.name, rest)
		return true
	case errors.Is(err, os.ErrDeadlineExceeded):
		return false
	}
	return true
}

// nextRequests returns the requests that the caller sends next.
func (s *session) nextRequests() []*sentRequest {
	count := 1
	if s.kind == pipeliningCaller {
		count += s.run.intN(maxPipelined)
	}
	// Several large responses follow each other, so that one can fill the rest of another that was broken off.
	large := s.kind == slowReader || s.kind == pipeliningCaller && s.run.intN(6) == 0
	var batch []*sentRequest
	for i := range count {
		q := &sentRequest{id: s.run.nextID("q"), method: http.MethodGet, path: "/lookup/1", incarnation: s.in, limit: timeLimit, kept: s.answered > 0, behind: i > 0, pieces: 1}
		switch {
		case large:
			q.path = largePath
		case s.kind == patientCaller:
			q.method, q.path, q.limit, q.unsafe = http.MethodPost, longPath, longLimit, true
		case s.kind == uploadingCaller:
			q.method, q.path, q.unsafe = http.MethodPost, "/order/1", true
			q.setBody(1 + s.run.intN(100_000))
			q.chunked = s.run.intN(2) == 0
			q.pieces = 1 + s.run.intN(8)
			q.pause = s.run.randomDuration(0, 150*time.Millisecond)
		case s.kind == bulkUploader:
			q.method, q.path, q.unsafe, q.chunked, q.pieces = http.MethodPost, "/order/1", true, true, 8
			q.setBody(bulkBytes)
		case s.kind == serialCaller && s.run.intN(2) == 0:
			q.method, q.path, q.unsafe = http.MethodPost, "/order/1", true
		}
		batch = append(batch, q)
	}
	return batch
}

// setBody sets a body of about the size in bytes.
func (q *sentRequest) setBody(size int) {
	q.body = bytes.Repeat([]byte(q.id+" "), 1+size/(len(q.id)+1))
	q.bodySize, q.bodySum = len(q.body), crc32.ChecksumIEEE(q.body)
}

// head returns the request's head.
func (q *sentRequest) head() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.id, q.limit.Milliseconds())
	switch {
	case q.chunked:
		head += "Transfer-Encoding: chunked\r\n"
	case q.method == http.MethodPost:
		head += fmt.Sprintf("Content-Length: %d\r\n", q.bodySize)
	}
	return head + "\r\n"
}

// send sends the requests in one go, or the parts of the body of a single one. It stops early if the host answers before the end.
func (s *session) send(batch []*sentRequest) error {
	began := time.Now()
	var heads strings.Builder
	for _, q := range batch {
		q.began, q.ended = began, began
		heads.WriteString(q.head())
	}
	_ = s.conn.SetWriteDeadline(began.Add(answerTimeout))
	_, err := io.WriteString(s.conn, heads.String())
	if err == nil {
		err = s.sendBody(batch[0])
	}
	batch[0].body = nil
	for _, q := range batch {
		if err == nil {
			q.sent = time.Now()
		}
	}
	return err
}

// errAnswered reports that the host answered a request before its end.
var errAnswered = errors.New("answered before the end of the request")

// sendBody sends the body of a request in pieces.
func (s *session) sendBody(q *sentRequest) error {
	for i := range q.pieces {
		part := q.body[len(q.body)*i/q.pieces : len(q.body)*(i+1)/q.pieces]
		if len(part) == 0 {
			continue
		}
		if i > 0 {
			time.Sleep(q.pause)
			_ = s.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
			if _, err := s.reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
				return errAnswered
			}
		}
		if q.chunked {
			part = fmt.Appendf(nil, "%x\r\n%s\r\n", len(part), part)
		}
		if _, err := s.conn.Write(part); err != nil {
			return err
		}
	}
	if !q.chunked {
		return nil
	}
	_, err := io.WriteString(s.conn, "0\r\n\r\n")
	return err
}

// receive reads the response to a request and checks it.
func (s *session) receive(q *sentRequest) {
	defer func() { q.ended = time.Now() }()
	giveUp := answerTimeout
	if !q.kept && s.in.shortOfDescriptors() {
		// The host may not have accepted the connection.
		giveUp = q.limit + timeLimit
	}
	_ = s.conn.SetReadDeadline(q.began.Add(giveUp))
	response, err := http.ReadResponse(s.reader, &http.Request{Method: q.method})
	if err != nil {
		q.err = err
		if !isEndOfConnection(err) {
			s.run.reportViolation("MIXED: %s answered %s with bytes that are no response: %v", s.in.host.name, q.id, err)
		}
		return
	}
	q.begun, q.status = true, response.StatusCode
	body, err := s.readBody(response.Body)
	if err != nil {
		q.err = err
		return
	}
	q.complete, q.behindClose = true, response.Close
	q.cutByStop = q.status == http.StatusGatewayTimeout && response.Header.Get("Briarcroft-Reason") == "HostStopped"
	s.run.checkResponse(q, response, body)
}

// readBody reads a response's body, slowly if the caller is a slow reader.
func (s *session) readBody(body io.Reader) (string, error) {
	if s.kind != slowReader {
		content, err := io.ReadAll(body)
		return string(content), err
	}
	var content strings.Builder
	for {
		if _, err := io.CopyN(&content, body, 64<<10); errors.Is(err, io.EOF) {
			return content.String(), nil
		} else if err != nil {
			return "", err
		}
		time.Sleep(s.run.randomDuration(time.Millisecond, 50*time.Millisecond))
	}
}

// isEndOfConnection reports whether an error means that the connection has ended or the time is over.
func isEndOfConnection(err error) bool {
	var netErr net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr)
}

// checkResponse checks the content of a complete response.
func (r *soakRun) checkResponse(q *sentRequest, response *http.Response, body string) {
	host, id, seal := q.incarnation.host.name, response.Header.Get("X-Attempt-Id"), response.Header.Get("X-Response-Seal")
	expected := standin.LargeBody(q.id, 0)
	if q.path == largePath {
		expected = standin.LargeBody(q.id, largeBytes)
	}
	switch {
	case id != "" && id != q.id, seal != "" && seal != "seal."+q.id:
		r.reportViolation("MIXED: %s answered %s with status %d of the attempt %q and seal %q", host, q.id, q.status, id, seal)
	case q.status == http.StatusOK && (seal == "" || body != expected):
		r.reportViolation("MIXED: %s answered %s with seal %q and a wrong body of %d bytes that begins with %.60q", host, q.id, seal, len(body), body)
	case q.status == http.StatusOK, q.status == http.StatusBadGateway, q.status == http.StatusGatewayTimeout, q.isRefused() && q.status != http.StatusRequestTimeout:
	case q.status == http.StatusRequestTimeout && q.incarnation.isStoppedFor(stopTimeout*2/3):
		// Not all that arrives so late can be read before the end of the stop.
	case q.status == http.StatusRequestTimeout:
		r.reportViolation("DENIED: %s answered %s with 408 after %v although it was sent within the limits", host, q.id, time.Since(q.began))
	default:
		r.reportViolation("DENIED: %s answered %s with status %d although every configuration allows it", host, q.id, q.status)
	}
}
