package note

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestCheckAccounts guards against accounts that cannot be told apart or carried in a header field, and against errors that show
// a key.
func TestCheckAccounts(t *testing.T) {
	const secret = "s3cret"
	for _, c := range []struct {
		name     string
		accounts []Account
		want     string
	}{
		{"sound", []Account{{Name: "a", Keys: Keys{secret, "other"}, Priority: 3, Rate: 1.5, Burst: 2}, {Name: "b"}}, ""},
		{"no name", []Account{{Keys: Keys{secret}}}, `Account "" has no name`},
		{"long name", []Account{{Name: strings.Repeat("a", 129)}}, "needs a name of at most 128 bytes"},
		{"line break in name", []Account{{Name: "a\r\nX-Forged: 1"}}, "without control characters"},
		{"name twice", []Account{{Name: "a"}, {Name: "a"}}, "more than once"},
		{"key of two accounts", []Account{{Name: "a", Keys: Keys{secret}}, {Name: "b", Keys: Keys{"x", secret}}}, `Account "a" and Account "b" share the key with the fingerprint ` + Fingerprint(secret)},
		{"key twice in one account", []Account{{Name: "a", Keys: Keys{secret, secret}}}, ""},
		{"empty key", []Account{{Name: "a", Keys: Keys{secret, ""}}}, "empty key at position 2"},
		{"long key", []Account{{Name: "a", Keys: Keys{strings.Repeat(secret, 100)}}}, "key of 600 bytes"},
		{"space at the end of a key", []Account{{Name: "a", Keys: Keys{secret + " "}}}, "no header field can carry"},
		{"control character in a key", []Account{{Name: "a", Keys: Keys{secret + "\x00"}}}, "no header field can carry"},
		{"negative priority", []Account{{Name: "a", Priority: -1}}, "has priority -1"},
		{"huge priority", []Account{{Name: "a", Priority: math.MaxInt}}, "has priority"},
		{"negative rate", []Account{{Name: "a", Rate: -1}}, "has a rate of -1"},
		{"rate that is no number", []Account{{Name: "a", Rate: math.NaN()}}, "has a rate of NaN"},
		{"huge burst", []Account{{Name: "a", Burst: 1e300}}, "has a burst of 1e+300"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := CheckAccounts(c.accounts)
			is.Equal(err == nil, c.want == "")
			if err != nil {
				is.True(strings.Contains(err.Error(), c.want))
				is.True(!strings.Contains(err.Error(), secret))
			}
			_, err = Configuration{}.Apply(Note{Accounts: c.accounts})
			is.Equal(err == nil, c.want == "" || c.name == "name twice") // a note replaces entries of the same name
		})
	}
}

// TestKeysAreNotPrinted guards against keys in logs and errors, while JSON, in which records are stored, keeps them.
func TestKeysAreNotPrinted(t *testing.T) {
	is := is.New(t)
	a := Account{Name: "a", Keys: Keys{"s3cret"}}
	n := Note{Accounts: []Account{a}}
	for _, format := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x"} {
		printed := fmt.Sprintf(format, n) + fmt.Sprintf(format, &a) + fmt.Sprintf(format, a.Keys)
		is.True(!strings.Contains(printed, "s3cret"))
		is.True(!strings.Contains(printed, fmt.Sprintf("%x", "s3cret")))
	}
	is.True(strings.Contains(fmt.Sprint(a), Fingerprint("s3cret")))
	encoded, err := json.Marshal(a)
	is.NoErr(err)
	var decoded Account
	is.NoErr(json.Unmarshal(encoded, &decoded))
	is.Equal(decoded, a)
}

// TestParseAccount parses accounts and their withdrawal in a note.
func TestParseAccount(t *testing.T) {
	is := is.New(t)
	head := "[Note]\nFollows = 1\nOperator = o\nReason = r\n"
	n, err := Parse("n.ini", []byte(head+"[Account north]\nKeys = k1, k2\nPriority = 2\nRate = 7.5\nBurst = 8\n[Account east]\n[Withdraw]\nAccounts = south\n"))
	is.NoErr(err)
	is.Equal(n.Accounts, []Account{{Name: "north", Keys: Keys{"k1", "k2"}, Priority: 2, Rate: 7.5, Burst: 8}, {Name: "east"}})
	is.Equal(n.Withdraw.Accounts, []string{"south"})
	is.Equal(n.Summary(), "set accounts north east; withdrew accounts south")
	for _, wrong := range []string{"[Account]\n", "[Account a b]\n", "[Account a]\nKey = s3cret\n", "[Account a]\nRate = x\n", "[Account a]\nKeys = " + strings.Repeat("s3cret", 100) + "\n"} {
		_, err = Parse("n.ini", []byte(head+wrong))
		is.True(err != nil)
		is.True(!strings.Contains(err.Error(), "s3cret"))
	}
}

// TestDiffOfAccounts applies the difference of two configurations, one of which changes the keys of an account and lacks another.
func TestDiffOfAccounts(t *testing.T) {
	is := is.New(t)
	old := Configuration{Number: 1, Accounts: []Account{{Name: "a", Keys: Keys{"k1"}}, {Name: "b", Keys: Keys{"k2"}}, {Name: "c"}}}
	next := Configuration{Number: 2, Accounts: []Account{{Name: "a", Keys: Keys{"k1", "k3"}}, {Name: "c"}, {Name: "d", Rate: 3}}}
	difference := Diff(old, next)
	is.Equal(difference.Summary(), "set accounts a d; withdrew accounts b")
	applied, err := old.Apply(difference)
	is.NoErr(err)
	is.Equal(applied, next)
}

// TestWithdrawnAccountsLeaveKeysRequired guards against notes that make hosts ask for no key because they withdraw the last account.
func TestWithdrawnAccountsLeaveKeysRequired(t *testing.T) {
	is := is.New(t)
	c, err := Configuration{}.Apply(Note{Services: []Service{{Name: "s"}}})
	is.NoErr(err)
	is.True(!c.KeysRequired())
	c, err = c.Apply(Note{Accounts: []Account{{Name: "a", Keys: Keys{"k1"}}}})
	is.NoErr(err)
	is.True(c.KeysRequired() && !c.KeysWithdrawn)
	c, err = c.Apply(Note{Withdraw: Withdrawal{Accounts: []string{"a"}}})
	is.NoErr(err)
	is.True(c.KeysRequired() && c.KeysWithdrawn)
	c, err = c.Apply(Note{Services: []Service{{Name: "t"}}})
	is.NoErr(err)
	is.True(c.KeysRequired())
	c, err = c.Apply(Note{Accounts: []Account{{Name: "b"}}})
	is.NoErr(err)
	is.True(c.KeysRequired() && !c.KeysWithdrawn)
}

// TestParseSecondRuns guards against a limit of 0, which forbids second runs, being taken for none, and against limits that do not
// survive the JSON text of a record.
func TestParseSecondRuns(t *testing.T) {
	is := is.New(t)
	n, err := Parse("n.ini", []byte("[Note]\nFollows = 1\nOperator = o\nReason = r\n[Service a]\nSecondRuns = 0\nSecondRunWork = 2.5\n[Service b]\n"))
	is.NoErr(err)
	text, err := json.Marshal(n)
	is.NoErr(err)
	is.NoErr(json.Unmarshal(text, &n))
	is.Equal(*n.Services[0].SecondRuns, 0.0)
	is.Equal(*n.Services[0].SecondRunWork, 2.5)
	is.True(n.Services[1].SecondRuns == nil && n.Services[1].SecondRunWork == nil)
	for _, wrong := range []string{"SecondRuns = -1", "SecondRuns = 101", "SecondRunWork = x"} {
		_, err = Parse("n.ini", []byte("[Note]\nFollows = 1\nOperator = o\nReason = r\n[Service a]\n"+wrong+"\n"))
		is.True(err != nil)
	}
}
