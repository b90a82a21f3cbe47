package message

import (
	"bytes"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Problem is why a request is refused. Its connection must be closed after the response, as the end of the request may be in doubt.
type Problem struct {
	Status int
	// Reason names the problem in responses and logs.
	Reason string
}

func invalid(reason string) *Problem { return &Problem{http.StatusBadRequest, reason} }

// requestHead is what the fields of the head of a request say of its end, its host and its expectations.
type requestHead struct {
	framing
	hosts, expectations int
	host, expectation   []byte
}

// CheckRequestHead checks the head of a request as it was received, from the request line to the empty line, and returns nil if the request
// may be handled. What follows the empty line makes no difference. It is not complete if it has not arrived up to the empty line; then the
// problem is nil or the first one. CheckRequestHead leaves out what http.ReadRequest checks.
func CheckRequestHead(head []byte) (problem *Problem, complete bool) {
	var h requestHead
	line, rest, ok := nextLine(head)
	if !ok {
		return nil, false
	}
	version := line[bytes.LastIndexByte(line, ' ')+1:]
	if bytes.HasPrefix(version, []byte("HTTP/")) && !bytes.HasPrefix(version, []byte("HTTP/1.")) {
		problem = &Problem{http.StatusHTTPVersionNotSupported, reasonUnknownVersion}
	}
	h.oldVersion = string(version) == "HTTP/1.0"
	for {
		if line, rest, ok = nextLine(rest); !ok {
			return problem, false
		}
		if len(line) == 0 {
			break
		}
		if problem == nil {
			problem = h.addLine(line)
		}
	}
	if problem == nil {
		problem = h.check()
	}
	return problem, true
}

// addLine adds a line with a field.
func (h *requestHead) addLine(line []byte) *Problem {
	if isFold(line) {
		// RFC 9112, section 5.2.
		return invalid("FoldedField")
	}
	name, value, ok := splitField(line)
	if !ok {
		return invalid(reasonInvalidFieldName)
	}
	h.add(name, value)
	return nil
}

// add adds a field.
func (h *requestHead) add(name, value []byte) {
	switch {
	case len(name) == len("Host") && equalFold(name, "Host"):
		h.hosts++
		h.host = trim(value)
	case len(name) == len("Expect") && equalFold(name, "Expect"):
		h.expectations++
		h.expectation = trim(value)
	default:
		h.framing.add(name, value)
	}
}

// check checks the fields together.
func (h *requestHead) check() *Problem {
	switch reason := h.framing.problem(); {
	case reason == reasonUnknownTransferCoding:
		return &Problem{http.StatusNotImplemented, reason}
	case reason != "":
		return invalid(reason)
	case h.hosts > 1 || h.hosts == 0 && !h.oldVersion:
		// RFC 9112, section 3.2.
		return invalid("NotOneHost")
	case h.hosts == 1 && (len(h.host) == 0 || !httpguts.ValidHostHeader(string(h.host))):
		return invalid("InvalidHost")
	case h.expectations > 1 || h.expectations == 1 && !equalFold(h.expectation, "100-continue"):
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
