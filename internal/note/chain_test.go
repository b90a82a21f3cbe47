package note

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"briarcroft/internal/document"
	"briarcroft/internal/fixedseed"
	"briarcroft/internal/platform"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// fakeStore is a store in memory whose writes can go unconfirmed.
type fakeStore struct {
	platform.Store
	keys map[string][]byte
	// unconfirmedWrites is the number of next writes that take effect but return an error, and droppedWrites the number of
	// next writes that return an error without effect.
	unconfirmedWrites, droppedWrites int
}

func (s *fakeStore) sortedEntries(prefix, from string) []platform.Entry {
	var entries []platform.Entry
	for key, value := range s.keys {
		if strings.HasPrefix(key, prefix) && key >= from {
			entries = append(entries, platform.Entry{Key: key, Value: value})
		}
	}
	slices.SortFunc(entries, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return entries
}

func (s *fakeStore) Get(_ context.Context, key string) (platform.Entry, bool, error) {
	value, found := s.keys[key]
	return platform.Entry{Key: key, Value: value, Revision: 1}, found, nil
}

func (s *fakeStore) Range(_ context.Context, prefix, from string, limit int) ([]platform.Entry, error) {
	entries := s.sortedEntries(prefix, from)
	return entries[:min(limit, len(entries))], nil
}

func (s *fakeStore) Last(_ context.Context, prefix string) (platform.Entry, bool, error) {
	entries := s.sortedEntries(prefix, "")
	if len(entries) == 0 {
		return platform.Entry{}, false, nil
	}
	return entries[len(entries)-1], true, nil
}

func (s *fakeStore) Create(_ context.Context, key string, value []byte, _ platform.LeaseID) (platform.CreateResult, error) {
	if s.droppedWrites > 0 {
		s.droppedWrites--
		return platform.CreateResult{}, platform.ErrUnavailable.New("dropped")
	}
	existing, found := s.keys[key]
	if !found {
		s.keys[key] = value
	}
	if s.unconfirmedWrites > 0 {
		s.unconfirmedWrites--
		return platform.CreateResult{}, platform.ErrUnavailable.New("unconfirmed")
	}
	return platform.CreateResult{Created: !found, Existing: platform.Entry{Key: key, Value: existing}}, nil
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, value []byte, _ int64) (bool, error) {
	s.keys[key] = value
	return true, nil
}

func noteAddingService(follows int, name string) Note {
	return Note{Follows: follows, Operator: "o", Reason: "r", Services: []Service{{Name: name, QueueLimit: 1, Homes: 1}}}
}

// TestNumbersNeverFall checks that the note number of a host never decreases and that a host holds only published notes,
// whatever the order in which it gets records and snapshots from the store and from peers, repeated or forged ones among
// them. At the end every host catches up with the store.
func TestNumbersNeverFall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{keys: map[string][]byte{}}
		archive := NewArchive(ArchiveConfig{Store: store, RetryPause: time.Nanosecond})
		hosts := []*Chain{{}, {}, {}}
		accepted := map[int]string{}
		highest := make([]int, len(hosts))
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				store.unconfirmedWrites = rapid.IntRange(0, 1).Draw(t, "unconfirmed writes")
				head := len(accepted)
				follows := max(0, head-rapid.IntRange(0, 1).Draw(t, "behind"))
				nonce := fmt.Sprint(rapid.Uint64().Draw(t, "nonce"))
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				r, err := archive.Publish(ctx, noteAddingService(follows, fmt.Sprintf("s%d", head)), nonce, time.Unix(0, 0))
				switch {
				case err == nil && follows != head:
					t.Fatalf("a note that follows %d was accepted after note %d", follows, head)
				case err == nil:
					accepted[r.Number] = r.Hash()
				case follows == head || !errorx.IsOfType(err, ErrConflict):
					t.Fatalf("Publish returned an unexpected error: %v", err)
				}
			},
			"read store": func(t *rapid.T) {
				_ = archive.CatchUp(context.Background(), hosts[rapid.IntRange(0, 2).Draw(t, "host")])
			},
			"get peer notes": func(t *rapid.T) {
				from, to := hosts[rapid.IntRange(0, 2).Draw(t, "from")], hosts[rapid.IntRange(0, 2).Draw(t, "to")]
				snapshot, records := from.Since(rapid.IntRange(0, len(accepted)).Draw(t, "above"))
				if snapshot != nil {
					_, _ = to.ApplySnapshot(*snapshot)
				}
				for _, r := range records {
					_, _ = to.Apply(r)
				}
			},
			"forge record": func(t *rapid.T) {
				head, _, _ := hosts[0].Head()
				forged := Record{Number: head.Number + 1, Previous: "forged", Note: noteAddingService(head.Number, "forged")}
				if applied, _ := hosts[0].Apply(forged); applied {
					t.Fatal("a forged record was applied")
				}
			},
			"": func(t *rapid.T) {
				for i, h := range hosts {
					head, hash, configuration := h.Head()
					if head.Number < highest[i] {
						t.Fatalf("host %d went back from note %d to %d", i, highest[i], head.Number)
					}
					highest[i] = head.Number
					if head.Number > 0 && (accepted[head.Number] != hash || len(configuration.Services) != head.Number) {
						t.Fatalf("host %d holds a note %d that differs from the published one", i, head.Number)
					}
				}
			},
		})
		for _, h := range hosts {
			if err := archive.CatchUp(context.Background(), h); err != nil || h.Number() != len(accepted) {
				t.Fatalf("a host caught up to note %d of %d: %v", h.Number(), len(accepted), err)
			}
		}
	})
}

// TestUnconfirmedPublishIsUnknown checks that a publication that the store never confirms is reported neither as a success
// nor as a failure.
func TestUnconfirmedPublishIsUnknown(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{keys: map[string][]byte{}, droppedWrites: 1 << 30}
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := NewArchive(ArchiveConfig{Store: store}).Publish(ctx, noteAddingService(0, "s"), "n", time.Unix(0, 0))
	is.True(errorx.IsOfType(err, ErrOutcomeUnknown))
}

func TestVerifyFindsTampering(t *testing.T) {
	is := is.New(t)
	store := &fakeStore{keys: map[string][]byte{}}
	archive := NewArchive(ArchiveConfig{Store: store})
	for i := range 5 {
		_, err := archive.Publish(context.Background(), noteAddingService(i, fmt.Sprint("s", i)), "n", time.Unix(0, 0))
		is.NoErr(err)
	}
	head, hashes, err := archive.Verify(context.Background())
	is.NoErr(err)
	is.Equal(head.Number, 5)
	is.Equal(len(hashes), 5)
	store.keys[Key(3)] = []byte(strings.Replace(string(store.keys[Key(3)]), `"Reason":"r"`, `"Reason":"x"`, 1))
	head, _, err = archive.Verify(context.Background())
	is.True(errorx.IsOfType(err, ErrChain))
	is.Equal(head.Number, 3) // note 4 does not hold the hash of the changed record
}

func TestParseErrorsNameLineAndRemedy(t *testing.T) {
	head := "[Note]\nFollows = 0\nOperator = o\nReason = r\n"
	cases := []struct{ name, content, want string }{
		{"unknown key", head + "[Service s]\nQueue = 3\n", "n.ini:6: section [Service s] key Queue is unknown; allowed keys: QueueLimit"},
		{"bad number", head + "[Service s]\nHomes = two\n", "n.ini:6: section [Service s] key Homes has value \"two\"; write a whole number"},
		{"bad duration", head + "[Rule r]\nPath = /\nService = s\nDeadline = soon\n", "n.ini:8: section [Rule r] key Deadline has value \"soon\"; write a duration"},
		{"negative duration", head + "[Rule r]\nPath = /\nService = s\nDeadline = -1s\n", "write a duration of zero or more"},
		{"missing key", head + "[Target t]\nService = s\nDomain = a\n", "n.ini:5: section [Target t] key Address is missing"},
		{"bad address", head + "[Target t]\nService = s\nDomain = a\nAddress = host:80\n", "must be an IP address and port"},
		{"not allowed", head + "[Rule r]\nPath = /\nService = s\nIdempotent = maybe\n", "allowed: Auto, Yes, No"},
		{"unknown section", head + "[Targets]\nx = 1\n", "section [Targets] is unknown"},
		{"no name", head + "[Target]\nService = s\n", "needs one name"},
		{"repeated section", head + "[Service s]\n[Service s]\n", "is given more than once; merge"},
		{"repeated key", head + "[Service s]\nHomes = 1\nHomes = 2\n", "is given more than once; keep one"},
		{"no note", "[Service s]\n", "[Note] is missing"},
		{"no key", head + "nonsense\n", "write Key = Value"},
		{"bad status", head + "[Rule r]\nPath = /\nService = s\nNotRunStatuses = 200\n", "statuses from 400 to 599"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("n.ini", []byte(c.content))
			if err == nil || !strings.Contains(strings.ReplaceAll(err.Error(), "section [Note] is", "[Note] is"), c.want) {
				t.Fatalf("got %v, want %q", err, c.want)
			}
			if !errorx.IsOfType(err, document.ErrField) && !errorx.IsOfType(err, document.ErrSyntax) {
				t.Fatalf("%v is neither ErrField nor ErrSyntax", err)
			}
		})
	}
}

func TestApplyRejectsInvalidNotes(t *testing.T) {
	base, err := Configuration{}.Apply(Note{
		Services: []Service{{Name: "s"}}, Targets: []Target{{Name: "t", Service: "s", Address: "127.0.0.1:1"}},
		Rules: []Rule{{Name: "r", Service: "s", Path: "/"}},
	})
	is.New(t).NoErr(err)
	cases := []struct {
		name string
		note Note
		want string
	}{
		{"no changes", Note{}, "changes nothing"},
		{"unknown withdrawal", Note{Withdraw: Withdrawal{Targets: []string{"x"}}}, "not in the configuration"},
		{"service still used", Note{Withdraw: Withdrawal{Services: []string{"s"}}}, "withdraw the target"},
		{"unknown service", Note{Targets: []Target{{Name: "u", Service: "x", Address: "127.0.0.1:2"}}}, "add [Service x]"},
		{"shared address", Note{Targets: []Target{{Name: "u", Service: "s", Address: "127.0.0.1:1"}}}, "share the address"},
		{"added and withdrawn", Note{Targets: []Target{{Name: "t", Service: "s"}}, Withdraw: Withdrawal{Targets: []string{"t"}}}, "both added and withdrawn"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			after, err := base.Apply(c.note)
			is.True(errorx.IsOfType(err, ErrInvalid))
			is.True(strings.Contains(err.Error(), c.want))
			is.Equal(after.Hash(), base.Hash()) // the configuration is unchanged
		})
	}
}

func TestMatchReturnsMostSpecificRule(t *testing.T) {
	is := is.New(t)
	c := Configuration{Rules: []Rule{
		{Name: "all", Path: "/"}, {Name: "long", Path: "/a/b"}, {Name: "host", Host: "h", Path: "/"},
		{Name: "post", Path: "/", Methods: []string{"POST"}},
	}}
	cases := []struct{ host, path, method, want string }{
		{"x", "/c", "GET", "all"}, {"x", "/a/b/c", "GET", "long"}, {"h", "/a/b", "GET", "host"}, {"x", "/c", "POST", "post"},
	}
	for _, k := range cases {
		r, found := c.Match(k.host, k.path, k.method)
		is.True(found)
		is.Equal(r.Name, k.want)
	}
}
