// Package message checks heads of HTTP/1 requests for what an intermediary must refuse (RFC 9112), because two readers could find
// different requests in the same bytes. http.ReadRequest, which reads requests for net/http's server, leaves a part of these checks to
// that server.
package message

import (
	"bytes"
	"net/http"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Problem is why a request is refused. Its connection must be closed after the response, as the end of the request may be in doubt.
type Problem struct {
	Status int
	// Reason names the problem in responses and logs.
	Reason string
}

func invalid(reason string) *Problem { return &Problem{http.StatusBadRequest, reason} }

// framing is what the fields of a head say of the end of the request and of its host.
type framing struct {
	// oldVersion is set for HTTP/1.0.
	oldVersion                            bool
	hosts, lengths, codings, expectations int
	host, coding, expectation             []byte
}

// CheckHead checks the head of a request as it was received, from the request line to the empty line, and returns nil if the request may
// be handled. What follows the empty line makes no difference. It leaves out what http.ReadRequest checks.
func CheckHead(head []byte) *Problem {
	var f framing
	requestLine := head[:bytes.IndexByte(head, '\n')+1]
	version := bytes.TrimRight(requestLine[bytes.LastIndexByte(requestLine, ' ')+1:], "\r\n")
	if bytes.HasPrefix(version, []byte("HTTP/")) && !bytes.HasPrefix(version, []byte("HTTP/1.")) {
		return &Problem{http.StatusHTTPVersionNotSupported, "UnknownVersion"}
	}
	f.oldVersion = string(version) == "HTTP/1.0"
	for i := len(requestLine); i < len(head); {
		line := head[i:]
		if end := bytes.IndexByte(line, '\n'); end >= 0 {
			line = line[:end]
		}
		i += len(line) + 1
		if last := len(line) - 1; last >= 0 && line[last] == '\r' {
			line = line[:last]
		}
		if len(line) == 0 {
			break
		}
		if problem := f.add(line); problem != nil {
			return problem
		}
	}
	return f.check()
}

// add checks a line with a header field.
func (f *framing) add(line []byte) *Problem {
	if line[0] == ' ' || line[0] == '\t' {
		// RFC 9112, section 5.2.
		return invalid("FoldedField")
	}
	colon := 0
	for ; colon < len(line) && line[colon] != ':'; colon++ {
		if line[colon] == ' ' || line[colon] == '\t' {
			// A space before the colon is no part of a name (RFC 9112, section 5.1).
			return invalid("InvalidFieldName")
		}
	}
	if colon == 0 || colon == len(line) {
		return invalid("InvalidFieldName")
	}
	name, value := line[:colon], line[colon+1:]
	switch len(name) {
	case len("Host"):
		if equalFold(name, "Host") {
			f.hosts++
			f.host = trim(value)
		}
	case len("Expect"):
		if equalFold(name, "Expect") {
			f.expectations++
			f.expectation = trim(value)
		}
	case len("Content-Length"):
		if equalFold(name, "Content-Length") {
			f.lengths++
		}
	case len("Transfer-Encoding"):
		if equalFold(name, "Transfer-Encoding") {
			f.codings++
			f.coding = trim(value)
		}
	}
	return nil
}

// check checks the fields together.
func (f *framing) check() *Problem {
	switch {
	case f.codings > 0 && (f.oldVersion || f.lengths > 0):
		// RFC 9112, section 6.1.
		return invalid("AmbiguousLength")
	case f.lengths > 1:
		// RFC 9112, section 6.3.
		return invalid("AmbiguousLength")
	case f.codings > 1 || f.codings == 1 && !equalFold(f.coding, "chunked"):
		return &Problem{http.StatusNotImplemented, "UnknownTransferCoding"}
	case f.hosts > 1 || f.hosts == 0 && !f.oldVersion:
		// RFC 9112, section 3.2.
		return invalid("NotOneHost")
	case f.hosts == 1 && (len(f.host) == 0 || !httpguts.ValidHostHeader(string(f.host))):
		return invalid("InvalidHost")
	case f.expectations > 1 || f.expectations == 1 && !equalFold(f.expectation, "100-continue"):
		// RFC 9110, section 10.1.1.
		return &Problem{http.StatusExpectationFailed, "UnknownExpectation"}
	}
	return nil
}

// CheckRequest checks a request that net/http has read, and returns nil if it may be handled. Fields whose values are listed as single
// must not be repeated: the host and the target could read different ones.
func CheckRequest(r *http.Request, single ...[]string) *Problem {
	switch {
	case r.Method == http.MethodConnect:
		// What follows would be the bytes of a tunnel (RFC 9110, section 9.3.6).
		return &Problem{http.StatusNotImplemented, "NoTunnels"}
	case r.RequestURI == "*" && r.Method != http.MethodOptions:
		// RFC 9112, section 3.2.4.
		return invalid("InvalidTarget")
	}
	for _, values := range single {
		if len(values) > 1 {
			return invalid("RepeatedField")
		}
	}
	return nil
}

// equalFold compares a text with one in ASCII without regard to case.
func equalFold(text []byte, other string) bool {
	return len(text) == len(other) && strings.EqualFold(string(text), other)
}

// trim removes the white space around the value of a field.
func trim(value []byte) []byte {
	for len(value) > 0 && (value[0] == ' ' || value[0] == '\t') {
		value = value[1:]
	}
	for len(value) > 0 && (value[len(value)-1] == ' ' || value[len(value)-1] == '\t') {
		value = value[:len(value)-1]
	}
	return value
}
