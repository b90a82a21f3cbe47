package command

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestRepeatedSigtermCutsNothing sends SIGTERM repeatedly, as some supervisors do: that must not cut off a graceful
// stop, only a SIGINT may.
func TestRepeatedSigtermCutsNothing(t *testing.T) {
	is := is.New(t)
	stop, force, release := shutdownContexts()
	defer release()
	send := func(s syscall.Signal) { is.NoErr(syscall.Kill(syscall.Getpid(), s)) }
	send(syscall.SIGTERM)
	<-stop.Done()
	for range 20 {
		send(syscall.SIGTERM)
		time.Sleep(5 * time.Millisecond)
	}
	is.NoErr(force.Err())
	for force.Err() == nil {
		send(syscall.SIGINT)
		time.Sleep(5 * time.Millisecond)
	}
}
