package logqueue

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// writerFunc is a writer that calls a function.
type writerFunc func([]byte) (int, error)

// Write implements io.Writer.
func (w writerFunc) Write(p []byte) (int, error) { return w(p) }

// TestReaderThatStandsStillDelaysNothing guards against lines, and the end of a process, that wait for a reader of the log.
func TestReaderThatStandsStillDelaysNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		blocked := make(chan struct{})
		q, closeQueue := New(Config{Out: writerFunc(func(p []byte) (int, error) { <-blocked; return len(p), nil }), Bytes: 100, CloseTimeout: time.Second})
		start := time.Now()
		for range 30 {
			_, err := q.Write([]byte("line 4567\n"))
			is.NoErr(err)
			synctest.Wait()
		}
		is.Equal(time.Since(start), time.Duration(0))
		is.Equal(q.Lost(), int64(30-1-10)) // one is being written and ten wait
		closeQueue()
		is.Equal(time.Since(start), time.Second)
		close(blocked)
	})
}

// TestFailedWritesAreCounted guards against a log whose reader is gone without a sign of it in the metrics.
func TestFailedWritesAreCounted(t *testing.T) {
	is := is.New(t)
	q, closeQueue := New(Config{Out: writerFunc(func([]byte) (int, error) { return 0, errors.New("broken pipe") }), Bytes: 1 << 10, CloseTimeout: time.Minute})
	for range 3 {
		_, err := io.WriteString(q, "line\n")
		is.NoErr(err)
	}
	closeQueue()
	is.Equal(q.Lost(), int64(3))
}

// TestAllLinesAreWrittenInOrder guards against lines that are lost when the queue is closed.
func TestAllLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	var out, want strings.Builder
	q, closeQueue := New(Config{Out: &out, Bytes: 1 << 20, CloseTimeout: time.Minute})
	for i := range 1000 {
		line := fmt.Sprintf("line %d\n", i)
		want.WriteString(line)
		_, err := io.WriteString(q, line)
		is.NoErr(err)
	}
	closeQueue()
	is.Equal(out.String(), want.String())
	is.Equal(q.Lost(), int64(0))
}
