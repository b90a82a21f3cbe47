package message

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
	line, _ := nextLine(head)
	if reason := checkStatusLine(line); reason != "" {
		return &ResponseError{reason}
	}
	return nil
}

// checkStatusLine returns the reason why a status line is refused (RFC 9112, section 4), or the empty string.
func checkStatusLine(line []byte) string {
	const version, status = len("HTTP/1.1"), len("HTTP/1.1 200")
	if len(line) < status || line[version] != ' ' || len(line) > status && line[status] != ' ' {
		return reasonInvalidStatusLine
	}
	code := line[version+1 : status]
	for _, digit := range code {
		if digit < '0' || digit > '9' {
			return reasonInvalidStatusLine
		}
	}
	if !IsStatus(int(code[0]-'0') * 100) {
		return reasonInvalidStatus
	}
	return ""
}

// IsStatus reports whether a number can be the status of a response (RFC 9110, section 15).
func IsStatus(status int) bool { return status >= 100 && status <= 599 }
