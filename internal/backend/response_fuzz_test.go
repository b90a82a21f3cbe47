package backend

import (
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
)

// Parts of a response as RFC 9112 defines them.
var (
	wholeStatusLine = regexp.MustCompile(`^HTTP/1\.([0-9]) ([1-5][0-9][0-9])( [^\x00-\x08\n-\x1f\x7f]*)?$`)
	wholeField      = regexp.MustCompile("^([!#$%&'*+.^_`|~0-9A-Za-z-]+):[ \\t]*([^\\x00-\\x08\\n-\\x1f\\x7f]*?)[ \\t]*$")
	wholeLength     = regexp.MustCompile(`^[0-9]+$`)
)

// parsedResponse is a response in the bytes of a backend server.
type parsedResponse struct {
	status, minorVersion         int
	ids, seals, lengths, codings []string
	rest                         string
}

// parseResponse parses the head of a response without net/http's readers, and fails if it is none.
func parseResponse(sent string) (p parsedResponse, ok bool) {
	fields := []string{}
	for i := 0; ; i++ {
		line, rest, found := strings.Cut(sent, "\n")
		if !found {
			return p, false
		}
		line, sent = strings.TrimSuffix(line, "\r"), rest
		if i == 0 {
			m := wholeStatusLine.FindStringSubmatch(line)
			if m == nil {
				return p, false
			}
			p.minorVersion, _ = strconv.Atoi(m[1])
			p.status, _ = strconv.Atoi(m[2])
			continue
		}
		if line == "" {
			break
		}
		if line[0] == ' ' || line[0] == '\t' {
			if len(fields) == 0 {
				return p, false
			}
			fields[len(fields)-1] += " " + strings.Trim(line, " \t")
			continue
		}
		fields = append(fields, line)
	}
	for _, field := range fields {
		m := wholeField.FindStringSubmatch(field)
		if m == nil {
			return p, false
		}
		for name, values := range map[string]*[]string{"id": &p.ids, "seal": &p.seals, "content-length": &p.lengths, "transfer-encoding": &p.codings} {
			if strings.EqualFold(m[1], name) {
				*values = append(*values, m[2])
			}
		}
	}
	p.rest = sent
	return p, true
}

// body returns the whole body of the response to a request with a method, and fails if there is none.
func (p parsedResponse) body(method string) (string, bool) {
	switch {
	case len(p.codings) > 1 || len(p.lengths) > 1 || len(p.codings) > 0 && (len(p.lengths) > 0 || p.minorVersion == 0 || !strings.EqualFold(p.codings[0], "chunked")),
		len(p.lengths) == 1 && !wholeLength.MatchString(p.lengths[0]):
		return "", false
	case method == http.MethodHead || p.status == http.StatusNoContent || p.status == http.StatusNotModified:
		return "", true
	case len(p.codings) == 1:
		return joinChunks(p.rest)
	case len(p.lengths) == 1:
		length, err := strconv.Atoi(p.lengths[0])
		if err != nil || length > len(p.rest) {
			return "", false
		}
		return p.rest[:length], true
	}
	return p.rest, true
}

// joinChunks returns the body in chunks, and fails unless the last chunk and the end of the trailers follow.
func joinChunks(sent string) (string, bool) {
	var body strings.Builder
	for {
		line, rest, found := strings.Cut(sent, "\n")
		line, _, _ = strings.Cut(line, ";")
		size, err := strconv.ParseUint(strings.TrimRight(line, " \t\r"), 16, 31)
		if !found || err != nil {
			return "", false
		}
		if size == 0 {
			return body.String(), strings.HasPrefix(rest, "\r\n") || strings.HasPrefix(rest, "\n") || strings.Contains(rest, "\n\r\n") || strings.Contains(rest, "\n\n")
		}
		if int(size) > len(rest) {
			return "", false
		}
		body.WriteString(rest[:size])
		sent = strings.TrimPrefix(rest[size:], "\r\n")
	}
}

// FuzzSameResponses guards against bytes of backend servers that are taken for a response although RFC 9112 allows none in them, or another one.
func FuzzSameResponses(f *testing.F) {
	for _, c := range wholeResponses {
		f.Add([]byte(c.response), c.method == http.MethodHead)
		f.Add([]byte(interim+c.response), false)
	}
	for _, head := range []string{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 000 OK\r\nContent-Length: 4\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n", "HTTP/1.1 205 Reset Content\r\n", "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n",
	} {
		for _, body := range []string{"4\r\nabcd\r\n0\r\n\r\n", "", ownSuccess} {
			f.Add([]byte(head+"Id: own\r\nSeal: s\r\n\r\n"+body), false)
		}
	}
	f.Fuzz(func(t *testing.T, sent []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		got, err := fetch(method, string(sent), io.EOF)
		if err != nil {
			return
		}
		p, ok := parseResponse(string(sent))
		for ok && p.status < http.StatusOK && p.status != http.StatusSwitchingProtocols {
			p, ok = parseResponse(p.rest)
		}
		if ok && (len(p.ids) != 1 || p.ids[0] != "own") && p.status >= http.StatusOK {
			// It may be a response to another request, which is skipped.
			return
		}
		if want, whole := p.body(method); !ok || !whole || p.status < http.StatusOK || got != want {
			t.Errorf("%q is taken for a response with the body %q; it is one: %v, whole: %v, with status %d and body %q", sent, got, ok, whole, p.status, want)
		}
	})
}
