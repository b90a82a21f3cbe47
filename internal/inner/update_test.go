package inner

import (
	"os"
	"strings"
	"testing"

	"briarcroft/internal/fixedseed"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Main(m)) }

// TestUpdatesAreJoined sends updates of any size as messages, of which none is much larger than a part.
func TestUpdatesAreJoined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var joiner UpdateJoiner
		for range rapid.IntRange(1, 4).Draw(t, "updates") {
			update := &FollowStoreReply{Revision: rapid.Int64().Draw(t, "revision"), Complete: rapid.Bool().Draw(t, "complete")}
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				value := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "value")
				repeated := []byte(strings.Repeat(string(value), rapid.IntRange(0, 2000).Draw(t, "times")))
				update.Changes = append(update.Changes, &StoreChange{Key: "k", Value: repeated})
			}
			messages, err := SplitUpdate(update)
			if err != nil {
				t.Fatal(err)
			}
			for i, m := range messages {
				if proto.Size(m) > partBytes+16 {
					t.Fatalf("message of %d bytes", proto.Size(m))
				}
				joined, err := joiner.Add(m)
				if err != nil {
					t.Fatal(err)
				}
				last := i == len(messages)-1
				if (joined != nil) != last || joiner.Partial() == last {
					t.Fatalf("message %d of %d: update %v, partial %v", i+1, len(messages), joined != nil, joiner.Partial())
				}
				if last && !proto.Equal(joined, update) {
					t.Fatal("the update has changed")
				}
			}
		}
	})
}

func TestBrokenUpdates(t *testing.T) {
	for _, c := range []struct {
		name string
		part []byte
	}{
		{"not compressed", []byte("no DEFLATE stream")},
		{"cut off", []byte{0x4a}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var joiner UpdateJoiner
			_, err := joiner.Add(&FollowStoreReply{Part: c.part})
			is.True(err != nil)
			is.True(!joiner.Partial())
		})
	}
}
