package note

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestParseWarmUp checks that notes can say what cold targets of a service take.
func TestParseWarmUp(t *testing.T) {
	is := is.New(t)
	n, err := Parse("note.ini", []byte("[Note]\nFollows = 0\nOperator = anna\nReason = first\n[Service s]\nWarmUpTime = 3s\nWarmUpRate = 2.7\n"))
	is.NoErr(err)
	is.Equal(n.Services[0].WarmUpTime, 3*time.Second)
	is.Equal(n.Services[0].WarmUpRate, 2.7)
	_, err = Parse("note.ini", []byte("[Note]\nFollows = 0\nOperator = anna\nReason = first\n[Service s]\nWarmUpRate = -1\n"))
	is.True(err != nil)
}
