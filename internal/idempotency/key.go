// Package idempotency keeps the promise that a non-idempotent request runs at most once.
// It knows no sockets and no wall clock: the issuing host's monotonic clock is passed in.
package idempotency

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("claim").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrInvalidKey reports an Idempotency-Key that cannot be used; the message says what is allowed.
var ErrInvalidKey = namespace.NewType("key")

// grantPrefix starts every grant, and keyBytes bounds a whole key.
const (
	grantPrefix = "g1"
	maxKeyBytes = 256
)

// Grant is the right to ask one incarnation of one entry host to run keyed requests during a window.
type Grant struct {
	Host        string
	Incarnation uint64
	// Issued is the issuing host's monotonic time in milliseconds since its start.
	Issued int64
}

// String returns the text that a key must begin with.
func (g Grant) String() string {
	return fmt.Sprintf("%s.%s.%s.%s", grantPrefix, g.Host, strconv.FormatUint(g.Incarnation, 36), strconv.FormatInt(g.Issued, 36))
}

// Key is an Idempotency-Key; a plain one has no grant.
type Key struct {
	Grant Grant
	// Suffix is the caller's part.
	Suffix string
	Plain  bool
}

// String returns the key as the caller sent it, or in full for a plain key with a claimed grant.
func (k Key) String() string {
	if k.Plain && k.Grant == (Grant{}) {
		return k.Suffix
	}
	return k.Grant.String() + "." + k.Suffix
}

// ParseKey reads the value of an Idempotency-Key header; errors are ErrKey.
func ParseKey(text string) (Key, error) {
	if len(text) == 0 || len(text) > maxKeyBytes {
		return Key{}, ErrInvalidKey.New("Idempotency-Key has %d characters; use 1 to %d", len(text), maxKeyBytes)
	}
	if strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return Key{}, ErrInvalidKey.New("Idempotency-Key holds a space or an unprintable character; use visible ASCII")
	}
	if !strings.HasPrefix(text, grantPrefix+".") {
		return Key{Suffix: text, Plain: true}, nil
	}
	parts := strings.SplitN(text, ".", 5)
	if len(parts) < 5 || parts[1] == "" || parts[4] == "" {
		return Key{}, ErrInvalidKey.New("Idempotency-Key begins like a grant but is not GRANT.SUFFIX; append a dot and your own part to the Grant of the address answer")
	}
	incarnation, err := strconv.ParseUint(parts[2], 36, 64)
	if err != nil {
		return Key{}, ErrInvalidKey.New("Idempotency-Key names no incarnation; copy the Grant of the address answer unchanged")
	}
	issued, err := strconv.ParseInt(parts[3], 36, 64)
	if err != nil || issued < 0 {
		return Key{}, ErrInvalidKey.New("Idempotency-Key names no issue time; copy the Grant of the address answer unchanged")
	}
	return Key{Grant: Grant{parts[1], incarnation, issued}, Suffix: parts[4]}, nil
}

func milliseconds(d time.Duration) int64 { return int64(d / time.Millisecond) }
