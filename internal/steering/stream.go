package steering

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"briarcroft/internal/backend"
	"briarcroft/internal/route"
)

// maxResumes is how often one answer may be taken up again.
const maxResumes = 3

// stream is a large answer on its way through; it takes a cut answer up again by Range where the backend allows it.
type stream struct {
	service *Service
	ctx     context.Context
	request *Request
	body    io.ReadCloser
	target  string
	etag    string
	// read and total count bytes; total is -1 when it is not known.
	read, total int64
	resumes     int
	end         func(route.Outcome)
	err         error
}

func (s *Service) streamAnswer(ctx context.Context, r *Request, answer *Answer, response *http.Response, end func(route.Outcome)) {
	answer.Body = &stream{
		service: s, ctx: ctx, request: r, body: response.Body, target: answer.Target,
		etag: resumeTag(r, response), total: response.ContentLength, end: end,
	}
}

// resumeTag returns the strong ETag of an answer that can be taken up again, or nothing.
func resumeTag(r *Request, response *http.Response) string {
	etag := response.Header.Get("ETag")
	ranged := response.Header.Get("Accept-Ranges") == "bytes" && r.Header.Get("Range") == ""
	if r.Method != http.MethodGet || response.StatusCode != http.StatusOK || !ranged || strings.HasPrefix(etag, "W/") {
		return ""
	}
	return etag
}

// Read implements io.Reader; a cut answer that cannot be taken up again ends with an error, never with io.EOF.
func (s *stream) Read(p []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.body.Read(p)
	s.read += int64(n)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && (s.total < 0 || s.read == s.total) {
		s.finish(route.Succeeded)
		s.err = io.EOF
		return n, io.EOF
	}
	if s.resume() {
		return n, nil
	}
	s.finish(route.Failed)
	s.err = backend.ErrConnectionBroke.New("backend server cut the answer after %d of %d bytes (%v); ask again", s.read, s.total, err)
	return n, s.err
}

// resume asks another target for the rest of the same representation.
func (s *stream) resume() bool {
	if s.etag == "" || s.total < 0 || s.ctx.Err() != nil || s.resumes >= maxResumes {
		return false
	}
	s.resumes++
	s.finish(route.Failed)
	if !s.service.takeRetry() {
		return false
	}
	rest := *s.request
	rest.Header = s.request.Header.Clone()
	rest.Header.Set("Range", "bytes="+strconv.FormatInt(s.read, 10)+"-")
	rest.Header.Set("If-Range", s.etag)
	answer, failed := s.service.attempt(s.ctx, &rest, s.target, backend.Options{NewConnection: true})
	if failed != nil {
		return false
	}
	start := "bytes " + strconv.FormatInt(s.read, 10) + "-"
	same := answer.Status == http.StatusPartialContent && answer.Header.Get("ETag") == s.etag &&
		strings.HasPrefix(answer.Header.Get("Content-Range"), start) && strings.HasSuffix(answer.Header.Get("Content-Range"), "/"+strconv.FormatInt(s.total, 10))
	if !same {
		// The other target holds another representation; nothing of it is used.
		_ = answer.Body.Close()
		return false
	}
	s.body, s.target = answer.Body, answer.Target
	return true
}

// finish gives the target's slot back, once.
func (s *stream) finish(outcome route.Outcome) {
	// The body's end is known already; Close only gives the connection back.
	_ = s.body.Close()
	if s.end != nil {
		s.end(outcome)
		s.end = nil
	}
}

// Close implements io.Closer.
func (s *stream) Close() error {
	s.finish(route.Abandoned)
	if s.err == nil {
		s.err = http.ErrBodyReadAfterClose
	}
	return nil
}
