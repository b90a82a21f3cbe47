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
// may be handled. What follows the empty line makes no difference. It leaves out what http.ReadRequest checks.
func CheckRequestHead(head []byte) *Problem {
	var h requestHead
	line, rest := nextLine(head)
	version := line[bytes.LastIndexByte(line, ' ')+1:]
	if bytes.HasPrefix(version, []byte("HTTP/")) && !bytes.HasPrefix(version, []byte("HTTP/1.")) {
		return &Problem{http.StatusHTTPVersionNotSupported, reasonUnknownVersion}
	}
	h.oldVersion = string(version) == "HTTP/1.0"
	for line, rest = nextLine(rest); len(line) > 0; line, rest = nextLine(rest) {
		if isFold(line) {
			// RFC 9112, section 5.2.
			return invalid("FoldedField")
		}
		name, value, ok := splitField(line)
		if !ok {
			return invalid(reasonInvalidFieldName)
		}
		h.add(name, value)
	}
	return h.check()
}

// add adds a field.
func (h *requestHead) add(name, value []byte) {
	switch {
	case equalFold(name, "Host"):
		h.hosts++
		h.host = trim(value)
	case equalFold(name, "Expect"):
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
