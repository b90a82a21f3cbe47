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

// CheckResponseHead checks the head of a response as it was received, from the status line to the empty line, and returns nil or a
// ResponseError. What follows the empty line makes no difference. It leaves out what http.ReadResponse checks.
func CheckResponseHead(head []byte) error {
	line, rest := nextLine(head)
	reason := checkStatusLine(line)
	if reason == "" {
		reason = checkResponseFields(rest, framing{oldVersion: bytes.HasPrefix(line, []byte("HTTP/1.0"))})
	}
	if reason != "" {
		return &ResponseError{reason}
	}
	return nil
}

// checkResponseFields returns the reason why the fields of a response are refused, or the empty string.
func checkResponseFields(fields []byte, f framing) string {
	framed := false
	for line, rest := nextLine(fields); len(line) > 0; line, rest = nextLine(rest) {
		if isFold(line) {
			// The fold may be read as a part of the value (RFC 9112, section 5.2), but must not hide where the response ends.
			if framed {
				return reasonAmbiguousLength
			}
			continue
		}
		name, value, ok := splitField(line)
		if !ok {
			return reasonInvalidFieldName
		}
		framed = f.add(name, value)
	}
	return f.problem()
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
	if !IsStatus(int(code[0]-'0') * 100) {
		return reasonInvalidStatus
	}
	return ""
}

// AreFields reports whether a parsed header has only names and values that fields can have (RFC 9110, sections 5.1 and 5.5).
func AreFields(h http.Header) bool {
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

// IsStatus reports whether a number can be the status of a response (RFC 9110, section 15).
func IsStatus(status int) bool { return status >= 100 && status <= 599 }
