// Package claim keeps the idempotency records of requests with an Idempotency-Key, so that a non-idempotent request runs
// at most once, however often it is sent.
//
// Each incarnation of an entry host (its process from one start to the next) issues grants. A request whose key
// begins with a grant may run only on the incarnation that issued it, which records the key in its Table. A plain key,
// which has no grant, is claimed in the platform's store first: the store keeps the grant of the only incarnation that
// may run its request. A stopping host seals its table and copies it to peers, which answer resends from then on.
//
// The package opens no connections and reads no clock: callers pass in the time since the start of their host.
package claim

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("claim").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrInvalidKey reports a malformed Idempotency-Key; the message says what is allowed.
var ErrInvalidKey = namespace.NewType("key")

const (
	// grantPrefix is the first part of every grant and denotes the version of its format.
	grantPrefix = "g1"
	// maxKeyBytes is the maximum length of an Idempotency-Key.
	maxKeyBytes = 256
)

// Grant permits requests whose keys begin with it to run on one incarnation of one entry host, if they begin within
// Config.GrantWindow after its issue.
type Grant struct {
	Host        string
	Incarnation uint64
	// Issued is when the grant was issued, in milliseconds since the start of the issuing host.
	Issued int64
}

// String returns the text form of the grant, with which a key begins.
func (g Grant) String() string {
	return fmt.Sprintf("%s.%s.%s.%s", grantPrefix, g.Host, strconv.FormatUint(g.Incarnation, 36), strconv.FormatInt(g.Issued, 36))
}

// Key is a parsed Idempotency-Key: either a grant followed by a suffix, or a plain key, which the caller chose freely.
type Key struct {
	// Grant is zero for a plain key until an entry host has claimed the key in the platform's store.
	Grant Grant
	// Suffix is the part of the key that the caller chose; for a plain key it is the whole key.
	Suffix string
	Plain  bool
}

// String returns the key as the caller sent it, except that a claimed plain key is prefixed with its grant.
func (k Key) String() string {
	if k.Plain && k.Grant == (Grant{}) {
		return k.Suffix
	}
	return k.Grant.String() + "." + k.Suffix
}

// ParseKey parses the value of an Idempotency-Key header; errors are of type ErrInvalidKey.
func ParseKey(value string) (Key, error) {
	if len(value) == 0 || len(value) > maxKeyBytes {
		return Key{}, ErrInvalidKey.New("Idempotency-Key has %d characters; use 1 to %d", len(value), maxKeyBytes)
	}
	if strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return Key{}, ErrInvalidKey.New("Idempotency-Key holds a space or an unprintable character; use visible ASCII")
	}
	if !strings.HasPrefix(value, grantPrefix+".") {
		return Key{Suffix: value, Plain: true}, nil
	}
	parts := strings.SplitN(value, ".", 5)
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
