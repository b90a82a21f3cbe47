package account

import (
	"fmt"
	"strings"
	"testing"

	"briarcroft/internal/note"

	"github.com/matryer/is"
)

// TestReadCredential guards against requests whose key can be read in two ways.
func TestReadCredential(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []string
		ok     bool
	}{
		{"one key", []string{"k"}, true},
		{"none", nil, false},
		{"empty", []string{""}, false},
		{"two fields", []string{"k", "k"}, false},
		{"longest", []string{strings.Repeat("k", note.MaxKeyBytes)}, true},
		{"too long", []string{strings.Repeat("k", note.MaxKeyBytes+1)}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			credential, ok := ReadCredential(c.values)
			is.Equal(ok, c.ok)
			is.Equal(ok, credential != Credential{})
		})
	}
}

// TestFind looks up the keys of 10,000 accounts, and guards against an index that can print a key.
func TestFind(t *testing.T) {
	is := is.New(t)
	var accounts []note.Account
	for i := range 10_000 {
		accounts = append(accounts, note.Account{Name: fmt.Sprint("account-", i), Keys: note.Keys{fmt.Sprint("secret-", i), fmt.Sprint("other-", i)}, Priority: i})
	}
	index := NewIndex(note.Configuration{Accounts: accounts})
	is.Equal(*index.Find(NewCredential("secret-7")), Account{"account-7", 7})
	is.Equal(*index.Find(NewCredential("other-9999")), Account{"account-9999", 9999})
	is.True(index.Find(NewCredential("secret-10000")) == nil)
	is.True(!strings.Contains(fmt.Sprintf("%+v %#v", index, index), "secret"))
	is.Equal(fmt.Sprint(NewCredential("secret-7")), note.Fingerprint("secret-7"))
	is.True(NewIndex(note.Configuration{}) == nil)
	is.True(NewIndex(note.Configuration{}).Find(NewCredential("secret-7")) == nil)
}
