package note

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"strings"
)

// Limits of client accounts.
const (
	// MaxKeyBytes is the length of the longest key, and maxAccountNameBytes that of the longest name.
	MaxKeyBytes         = 512
	maxAccountNameBytes = 128
	// maxAccountPriority is the highest number that a priority may have, because messages hold it in 32 bits.
	maxAccountPriority = math.MaxInt32
	// maxAccountRate bounds the rate and the burst, so that sums and products of them stay finite.
	maxAccountRate = 1e9
)

// Account is a client account: a customer whose requests carry one of its keys.
type Account struct {
	Name string `ini:"-"`
	// Keys may be empty: then no request of the account is accepted.
	Keys Keys
	// Priority orders queued requests before the priority of their rule; lower numbers are placed first.
	Priority int
	// Rate is the number of requests per second that the account may send over all entry hosts, and Burst the number that it may
	// send beyond that at once; a rate of zero means no limit.
	Rate  float64
	Burst float64
}

// Keys are the keys of one client account. They are secret: they must not appear in logs, records, errors or pages. Package fmt
// prints their fingerprints. JSON holds the keys themselves, because the records in the store do.
type Keys []string

// Format implements fmt.Formatter.
func (k Keys) Format(f fmt.State, _ rune) {
	fingerprints := make([]string, 0, len(k))
	for _, key := range k {
		fingerprints = append(fingerprints, Fingerprint(key))
	}
	// An error of the writer is kept by package fmt.
	_, _ = fmt.Fprintf(f, "%v", fingerprints)
}

// Fingerprint returns the first 8 hexadecimal digits of the SHA-256 of a key, by which logs and errors name it.
func Fingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:4])
}

func accountName(a Account) string { return a.Name }

// CheckAccounts returns ErrInvalid if an account is malformed or two accounts have the same name or key. The message names keys by
// their fingerprints.
func CheckAccounts(accounts []Account) error {
	names, owners := make(map[string]bool, len(accounts)), make(map[string]string, len(accounts))
	for _, a := range accounts {
		if problem := a.problem(); problem != "" {
			return ErrInvalid.New("Account %q %s", a.Name, problem)
		}
		if names[a.Name] {
			return ErrInvalid.New("Account %q is given more than once; merge the entries", a.Name)
		}
		names[a.Name] = true
		for _, key := range a.Keys {
			if owner, found := owners[key]; found && owner != a.Name {
				return ErrInvalid.New("Account %q and Account %q share the key with the fingerprint %s; give each its own", owner, a.Name, Fingerprint(key))
			}
			owners[key] = a.Name
		}
	}
	return nil
}

// problem returns what is wrong with the account and how to correct it, or the empty string.
func (a Account) problem() string {
	switch {
	case a.Name == "":
		return "has no name; give it one"
	case len(a.Name) > maxAccountNameBytes || !isFieldValue(a.Name):
		return fmt.Sprintf("needs a name of at most %d bytes without control characters or space at its ends, because a header field carries it", maxAccountNameBytes)
	case a.Priority < 0 || a.Priority > maxAccountPriority:
		return fmt.Sprintf("has priority %d; write a whole number from 0 to %d", a.Priority, maxAccountPriority)
	case !isAmount(a.Rate):
		return fmt.Sprintf("has a rate of %g requests per second; write a number from 0 to %g", a.Rate, float64(maxAccountRate))
	case !isAmount(a.Burst):
		return fmt.Sprintf("has a burst of %g requests; write a number from 0 to %g", a.Burst, float64(maxAccountRate))
	}
	for i, key := range a.Keys {
		switch {
		case key == "":
			return fmt.Sprintf("has an empty key at position %d; remove it", i+1)
		case len(key) > MaxKeyBytes:
			return fmt.Sprintf("has a key of %d bytes, with the fingerprint %s; at most %d are allowed", len(key), Fingerprint(key), MaxKeyBytes)
		case !isFieldValue(key):
			return fmt.Sprintf("has a key with the fingerprint %s that no header field can carry; remove control characters and space at its ends", Fingerprint(key))
		}
	}
	return ""
}

// isAmount reports whether a rate or burst is in range; NaN is not.
func isAmount(f float64) bool { return f >= 0 && f <= maxAccountRate }

// isFieldValue reports whether a header field can carry the value unchanged (RFC 9110, section 5.5).
func isFieldValue(value string) bool {
	return strings.TrimSpace(value) == value && !strings.ContainsFunc(value, func(r rune) bool { return r < ' ' || r == '\x7f' })
}
