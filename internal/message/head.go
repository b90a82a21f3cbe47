// Package message checks heads of HTTP/1 messages for what an intermediary must refuse (RFC 9112), because two readers could find
// different messages in the same bytes. The readers of net/http, which parse them, leave a part of these checks to net/http's server and
// client, or do not make them.
package message

import (
	"bytes"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// Reasons why heads are refused.
const (
	reasonUnknownVersion        = "UnknownVersion"
	reasonInvalidFieldName      = "InvalidFieldName"
	reasonAmbiguousLength       = "AmbiguousLength"
	reasonUnknownTransferCoding = "UnknownTransferCoding"
)

// framing is what the fields of a head say of the end of the message.
type framing struct {
	// oldVersion is set for HTTP/1.0.
	oldVersion       bool
	lengths, codings int
	coding           []byte
}

// add adds a field if it says something of the end of the message, and reports whether it does.
func (f *framing) add(name, value []byte) bool {
	switch {
	case len(name) == len("Content-Length") && equalFold(name, "Content-Length"):
		f.lengths++
	case len(name) == len("Transfer-Encoding") && equalFold(name, "Transfer-Encoding"):
		f.codings++
		f.coding = trim(value)
	default:
		return false
	}
	return true
}

// problem returns the reason why the end of the message is in doubt, or the empty string.
func (f *framing) problem() string {
	switch {
	case f.codings > 0 && (f.oldVersion || f.lengths > 0):
		// RFC 9112, section 6.1.
		return reasonAmbiguousLength
	case f.lengths > 1:
		// RFC 9112, section 6.3.
		return reasonAmbiguousLength
	case f.codings > 1 || f.codings == 1 && !equalFold(f.coding, "chunked"):
		return reasonUnknownTransferCoding
	}
	return ""
}

// nextLine returns the first line of a head, without its end, and what follows it. It fails if the line has not arrived completely.
func nextLine(head []byte) (line, rest []byte, ok bool) {
	end := bytes.IndexByte(head, '\n')
	if end < 0 {
		return nil, nil, false
	}
	line, rest = head[:end], head[end+1:]
	if last := end - 1; last >= 0 && line[last] == '\r' {
		line = line[:last]
	}
	return line, rest, true
}

// splitField returns the name and the value in a line with a header field. It fails if the name is no token, as with a space before the
// colon (RFC 9112, section 5.1).
func splitField(line []byte) (name, value []byte, ok bool) {
	i := 0
	for i < len(line) && tokenBytes[line[i]] {
		i++
	}
	if i == 0 || i == len(line) || line[i] != ':' {
		return nil, nil, false
	}
	return line[:i], line[i+1:], true
}

// tokenBytes tells which bytes a token can have (RFC 9110, section 5.6.2).
var tokenBytes = func() (table [256]bool) {
	for b := range table {
		table[b] = httpguts.IsTokenRune(rune(b))
	}
	return table
}()

// isFold reports whether a line continues the field before it.
func isFold(line []byte) bool { return line[0] == ' ' || line[0] == '\t' }

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
