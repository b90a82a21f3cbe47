package message

import (
	"bytes"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Reasons why heads of responses are refused, besides those of all heads.
const (
	reasonInvalidStatusLine = "InvalidStatusLine"
	reasonInvalidStatus     = "InvalidStatus"
)

// ResponseError is an error about a response that must not be taken for one. Its connection must be closed.
type ResponseError struct {
	// Reason names the problem in records and logs.
	Reason string
}

// Error implements error.
func (e *ResponseError) Error() string { return "invalid response: " + e.Reason }

// ErrMalformed is the ResponseError of a head that http.ReadResponse refuses.
var ErrMalformed = &ResponseError{"Malformed"}

// responseHead is what the fields of the head of a response say of its end.
type responseHead struct {
	framing
	// framed is set if the last field says something of the end.
	framed bool
}

// CheckResponseHead checks the head of a response as it was received, from the status line to the empty line, and returns nil or a
// ResponseError. What follows the empty line makes no difference. It is not complete if it has not arrived up to the empty line.
// CheckResponseHead leaves out what http.ReadResponse checks.
func CheckResponseHead(head []byte) (complete bool, err error) {
	var h responseHead
	line, rest, ok := nextLine(head)
	if !ok {
		return false, nil
	}
	reason := checkStatusLine(line)
	h.oldVersion = bytes.HasPrefix(line, []byte("HTTP/1.0"))
	for {
		if line, rest, ok = nextLine(rest); !ok {
			return false, nil
		}
		if len(line) == 0 {
			break
		}
		if reason == "" {
			reason = h.addLine(line)
		}
	}
	if reason == "" {
		reason = h.problem()
	}
	if reason != "" {
		return true, &ResponseError{reason}
	}
	return true, nil
}

// addLine adds a line with a field, or a part of one, and returns the reason why it is refused, or the empty string.
func (h *responseHead) addLine(line []byte) string {
	switch name, value, ok := splitField(line); {
	case isFold(line) && h.framed:
		// The fold may be read as a part of the value (RFC 9112, section 5.2), but must not hide where the response ends.
		return reasonAmbiguousLength
	case isFold(line):
	case !ok:
		return reasonInvalidFieldName
	default:
		h.framed = h.add(name, value)
	}
	return ""
}

// checkStatusLine returns the reason why a status line is refused (RFC 9112, section 4), or the empty string.
func checkStatusLine(line []byte) string {
	const version, status = len("HTTP/1.1"), len("HTTP/1.1 200")
	if bytes.HasPrefix(line, []byte("HTTP/")) && !bytes.HasPrefix(line, []byte("HTTP/1.")) {
		return reasonUnknownVersion
	}
	if len(line) < status || line[version] != ' ' || len(line) > status && line[status] != ' ' {
		return reasonInvalidStatusLine
	}
	code := line[version+1 : status]
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return reasonInvalidStatusLine
		}
	}
	if !httpguts.ValidHeaderFieldValue(string(line[status:])) {
		return reasonInvalidStatusLine
	}
	if !ValidStatus(int(code[0]-'0') * 100) {
		return reasonInvalidStatus
	}
	return ""
}

// ValidHeader reports whether a parsed header has only names and values that fields can have (RFC 9110, sections 5.1 and 5.5).
func ValidHeader(h http.Header) bool {
	for name, values := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return false
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return false
			}
		}
	}
	return true
}

// ValidStatus reports whether a number can be the status of a response (RFC 9110, section 15).
func ValidStatus(status int) bool { return status >= 100 && status <= 599 }
