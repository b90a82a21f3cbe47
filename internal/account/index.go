// Package account finds the client account of a request by the key that it carries, and decides by the proven age of a host's
// knowledge whether the key may have been withdrawn. It does no I/O and reads no clock.
package account

import (
	"crypto/sha256"
	"encoding/hex"

	"briarcroft/internal/note"
)

// Account is what a host needs to know of the account that sent a request.
type Account struct {
	Name string
	// Priority is that of note.Account.
	Priority int
}

// Credential is the SHA-256 of a key. The key itself is not kept, so that nothing can print it.
type Credential [sha256.Size]byte

// String returns the fingerprint of the key, as note.Fingerprint does.
func (c Credential) String() string { return hex.EncodeToString(c[:4]) }

// NewCredential returns the credential of a key.
func NewCredential(key string) Credential { return sha256.Sum256([]byte(key)) }

// Index finds accounts by key. It holds no keys, only their hashes, and does not change. A nil Index has no accounts.
type Index struct {
	byKey map[Credential]*Account
}

// NewIndex returns the index of the accounts of a configuration, or nil if requests need no key.
func NewIndex(c note.Configuration) *Index {
	if !c.KeysRequired() {
		return nil
	}
	x := &Index{byKey: make(map[Credential]*Account, len(c.Accounts))}
	for _, a := range c.Accounts {
		account := &Account{Name: a.Name, Priority: a.Priority}
		for _, key := range a.Keys {
			x.byKey[NewCredential(key)] = account
		}
	}
	return x
}

// Find returns the account of a credential, or nil if the credential is unknown.
func (x *Index) Find(c Credential) *Account {
	if x == nil {
		return nil
	}
	return x.byKey[c]
}

// ReadCredential returns the credential in the values of a request's header fields for the key. Exactly one field with a value
// must be present; an overlong value counts as none, because no account can have such a key.
func ReadCredential(values []string) (c Credential, ok bool) {
	if len(values) != 1 || values[0] == "" || len(values[0]) > note.MaxKeyBytes {
		return Credential{}, false
	}
	return NewCredential(values[0]), true
}
