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

// maxResumes is the maximum number of times that one response is resumed.
const maxResumes = 3

// resumableBody is the body of a response that is streamed to the caller. If the target breaks it off and the response
// allows Range requests, it is resumed from another target.
type resumableBody struct {
	service *Service
	ctx     context.Context
	request *Request
	body    io.ReadCloser
	target  string
	etag    string
	// read is the number of bytes read so far, total that of the body or -1 if unknown.
	read, total   int64
	resumes       int
	finishRequest func(route.Outcome)
	err           error
}

func (s *Service) streamResponse(ctx context.Context, r *Request, response *Response, httpResponse *http.Response, finishRequest func(route.Outcome)) {
	response.Body = &resumableBody{
		service: s, ctx: ctx, request: r, body: httpResponse.Body, target: response.Target,
		etag: resumableETag(r, httpResponse), total: httpResponse.ContentLength, finishRequest: finishRequest,
	}
}

// resumableETag returns the strong ETag of a response that can be resumed by a Range request, or an empty string.
func resumableETag(r *Request, httpResponse *http.Response) string {
	etag := httpResponse.Header.Get("ETag")
	acceptsRanges := httpResponse.Header.Get("Accept-Ranges") == "bytes" && r.Header.Get("Range") == ""
	if r.Method != http.MethodGet || httpResponse.StatusCode != http.StatusOK || !acceptsRanges || strings.HasPrefix(etag, "W/") {
		return ""
	}
	return etag
}

// Read implements io.Reader. A truncated body that cannot be resumed ends with an error, never with io.EOF.
func (b *resumableBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.body.Read(p)
	b.read += int64(n)
	if err == nil {
		return n, nil
	}
	if err == io.EOF && (b.total < 0 || b.read == b.total) {
		b.finish(route.Succeeded)
		b.err = io.EOF
		return n, io.EOF
	}
	if b.resume() {
		return n, nil
	}
	b.finish(route.Failed)
	b.err = backend.ErrConnectionBroke.New("response truncated by backend server after %d of %d bytes (%v); retry the request", b.read, b.total, err)
	return n, b.err
}

// resume requests the rest of the same representation from another target and reports whether it got it.
func (b *resumableBody) resume() bool {
	if b.etag == "" || b.total < 0 || b.ctx.Err() != nil || b.resumes >= maxResumes {
		return false
	}
	b.resumes++
	b.finish(route.Failed)
	if !b.service.spendRetry() {
		return false
	}
	rangeRequest := *b.request
	rangeRequest.Header = b.request.Header.Clone()
	rangeRequest.Header.Set("Range", "bytes="+strconv.FormatInt(b.read, 10)+"-")
	rangeRequest.Header.Set("If-Range", b.etag)
	response, failed := b.service.attempt(b.ctx, &rangeRequest, b.target, backend.Options{NewConnection: true})
	if failed != nil {
		return false
	}
	start := "bytes " + strconv.FormatInt(b.read, 10) + "-"
	sameRepresentation := response.Status == http.StatusPartialContent && response.Header.Get("ETag") == b.etag &&
		strings.HasPrefix(response.Header.Get("Content-Range"), start) && strings.HasSuffix(response.Header.Get("Content-Range"), "/"+strconv.FormatInt(b.total, 10))
	if !sameRepresentation {
		// The other target returned another representation or no range; its response must not be mixed in.
		_ = response.Body.Close()
		return false
	}
	b.body, b.target = response.Body, response.Target
	return true
}

// finish closes the current body and, on its first call, frees the slot of the target that the response came from. The
// body of a response that resumes it frees the slot of its own target.
func (b *resumableBody) finish(outcome route.Outcome) {
	// The result of the body is decided already; Close only returns the connection to the pool.
	_ = b.body.Close()
	if b.finishRequest != nil {
		b.finishRequest(outcome)
		b.finishRequest = nil
	}
}

// Close implements io.Closer.
func (b *resumableBody) Close() error {
	b.finish(route.Abandoned)
	if b.err == nil {
		b.err = http.ErrBodyReadAfterClose
	}
	return nil
}
