package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// child is a process that a test has started, with its exit status.
type child struct {
	*exec.Cmd
	ended chan error
}

// startChild starts another process of a host, whose process must have ended, with a settings file and a standard output. It closes
// the test's end of the output.
func (f *fleet) startChild(settingsFile string, out *os.File) *child {
	c := &child{exec.Command(f.binary(0, 0), "serve", "--config", settingsFile), make(chan error, 1)}
	c.Stdout, c.Stderr = out, out
	f.is.NoErr(c.Start())
	f.is.NoErr(out.Close())
	go func() { c.ended <- c.Wait() }()
	f.t.Cleanup(func() { _ = c.Process.Kill() })
	return c
}

// awaitEnd returns how a process ended.
func (f *fleet) awaitEnd(c *child) error {
	select {
	case err := <-c.ended:
		return err
	case <-time.After(waitTimeout):
		return errors.New("the process did not end")
	}
}

// endHost ends the process of a host at once.
func (f *fleet) endHost(p *process) {
	in := p.current()
	in.kill()
	<-in.exited
}

// openLog opens the file of a process's log for appending.
func (f *fleet) openLog(name string) *os.File {
	log, err := os.OpenFile(filepath.Join(f.dir, name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	f.is.NoErr(err)
	return log
}

// TestEarlyHangupReloadsSettings guards against a SIGHUP that ends a process which still reads its settings, and against the loss
// of a change that was made before the process began to watch the file.
func TestEarlyHangupReloadsSettings(t *testing.T) {
	binary := buildBinary(t, "..")
	f := newFleet(t, func(int, int) string { return binary }, 1, 1)
	p := f.hosts[0]
	f.endHost(p)
	old, err := os.ReadFile(p.settingsFile)
	f.is.NoErr(err)
	file := filepath.Join(f.dir, "early.ini")
	f.is.NoErr(unix.Mkfifo(file, 0o600))
	c := f.startChild(file, f.openLog("early.log"))
	settings, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the process reads its settings
	f.is.NoErr(err)
	f.is.NoErr(c.Process.Signal(syscall.SIGHUP))
	changed := filepath.Join(f.dir, "changed.ini")
	f.is.NoErr(os.WriteFile(changed, []byte(strings.Replace(string(old), "AddressMaxAge = 1s", "AddressMaxAge = 2s", 1)), 0o600))
	f.is.NoErr(os.Rename(changed, file))
	_, err = settings.Write(old)
	f.is.NoErr(err)
	f.is.NoErr(settings.Close())
	f.is.True(f.awaitReadiness(p, nil))
	f.awaitLine("early.log", "settings reloaded")
	f.is.NoErr(c.Process.Signal(syscall.SIGTERM))
	f.is.NoErr(f.awaitEnd(c))
}

// TestEarlyTerminationStopsGracefully guards against a SIGTERM that ends a process which still reads its settings.
func TestEarlyTerminationStopsGracefully(t *testing.T) {
	binary := buildBinary(t, "..")
	f := newFleet(t, func(int, int) string { return binary }, 1, 1)
	p := f.hosts[0]
	f.endHost(p)
	content, err := os.ReadFile(p.settingsFile)
	f.is.NoErr(err)
	file := filepath.Join(f.dir, "early.ini")
	f.is.NoErr(unix.Mkfifo(file, 0o600))
	c := f.startChild(file, f.openLog("early.log"))
	settings, err := os.OpenFile(file, os.O_WRONLY, 0) // returns once the process reads its settings
	f.is.NoErr(err)
	f.is.NoErr(c.Process.Signal(syscall.SIGTERM))
	f.is.NoErr(os.Remove(file))
	_, err = settings.Write(content)
	f.is.NoErr(err)
	f.is.NoErr(settings.Close())
	f.is.NoErr(f.awaitEnd(c))
}

// awaitLine waits until a log has a line with the given text.
func (f *fleet) awaitLine(log, text string) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if content, err := os.ReadFile(filepath.Join(f.dir, log)); err == nil && strings.Contains(string(content), text) {
			return
		}
	}
	f.t.Errorf("%s has no line with %q", log, text)
}

// TestSignalsDuringStopChangeNothing guards against a SIGHUP or SIGTERM that ends a process which has closed its host but has not
// ended yet.
func TestSignalsDuringStopChangeNothing(t *testing.T) {
	binary := buildBinary(t, "..")
	f := newFleet(t, func(int, int) string { return binary }, 1, 1)
	p := f.hosts[0]
	f.endHost(p)
	for range 3 {
		c := f.startChild(p.settingsFile, f.openLog("stop.log"))
		f.is.True(f.awaitReadiness(p, nil))
		f.is.NoErr(c.Process.Signal(syscall.SIGTERM))
		var err error
		for running := true; running; {
			select {
			case err = <-c.ended:
				running = false
			default:
				// A signal may come after the end.
				_ = c.Process.Signal(syscall.SIGHUP)
				_ = c.Process.Signal(syscall.SIGTERM)
			}
		}
		f.is.NoErr(err)
	}
}

// TestClosedLogReaderDoesNotEndProcess guards against the default action of SIGPIPE.
func TestClosedLogReaderDoesNotEndProcess(t *testing.T) {
	binary := buildBinary(t, "..")
	f := newFleet(t, func(int, int) string { return binary }, 1, 1)
	p := f.hosts[0]
	f.endHost(p)
	reader, writer, err := os.Pipe()
	f.is.NoErr(err)
	c := f.startChild(p.settingsFile, writer)
	f.is.True(f.awaitReadiness(p, nil))
	f.is.NoErr(reader.Close())
	for i := range 100 {
		r := f.call(p, http.MethodPost, "/order/1", fmt.Sprintf("o%d", i))
		f.is.NoErr(r.err)
		f.is.Equal(r.status, http.StatusOK)
	}
	f.is.NoErr(c.Process.Signal(syscall.SIGTERM))
	f.is.NoErr(f.awaitEnd(c))
}

// TestBlockedLogReaderDelaysNothing guards against writes to a log that nobody reads: requests must be answered, changed settings
// applied, and the process must end within its StopTimeout.
func TestBlockedLogReaderDelaysNothing(t *testing.T) {
	binary := buildBinary(t, "..")
	f := newFleet(t, func(int, int) string { return binary }, 1, 4)
	p := f.hosts[0]
	f.endHost(p)
	reader, writer, err := os.Pipe()
	f.is.NoErr(err)
	defer reader.Close()
	fillPipe(f, writer)
	c := f.startChild(p.settingsFile, writer)
	f.is.True(f.awaitReadiness(p, nil))
	for i := range 100 {
		r := f.call(p, http.MethodPost, "/order/1", fmt.Sprintf("o%d", i))
		f.is.NoErr(r.err)
		f.is.Equal(r.status, http.StatusOK)
	}
	f.is.NoErr(c.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-c.ended:
		f.is.NoErr(err)
	case <-time.After(stopTimeout):
		t.Error("the process has not ended within its StopTimeout")
	}
}

// fillPipe writes to a pipe until a write would block.
func fillPipe(f *fleet, writer *os.File) {
	raw, err := writer.SyscallConn()
	f.is.NoErr(err)
	f.is.NoErr(raw.Control(func(fd uintptr) {
		f.is.NoErr(unix.SetNonblock(int(fd), true))
		for _, size := range []int{4 << 10, 1} {
			for err == nil {
				_, err = unix.Write(int(fd), make([]byte, size))
			}
			f.is.Equal(err, unix.EAGAIN)
			err = nil
		}
		f.is.NoErr(unix.SetNonblock(int(fd), false))
	}))
}

// TestSlowBodyIsRefusedAtEndOfStop guards against the end of a process that resets the connection of a request which still arrives, so
// that its caller gets no answer.
func TestSlowBodyIsRefusedAtEndOfStop(t *testing.T) {
	binary := buildBinary(t, "..")
	f := newFleet(t, func(int, int) string { return binary }, 1, 1)
	p := f.hosts[0]
	conn, err := net.Dial("tcp", p.listen)
	f.is.NoErr(err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /order/1 HTTP/1.1\r\nHost: www.example\r\nX-Attempt-Id: slow\r\nContent-Length: 1000000\r\n\r\n")
	f.is.NoErr(err)
	f.signal(p.current(), syscall.SIGTERM)
	sender := make(chan struct{})
	go func() {
		defer close(sender)
		for err := error(nil); err == nil; time.Sleep(20 * time.Millisecond) {
			_, err = io.WriteString(conn, "0123456789")
		}
	}()
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.is.NoErr(err)
	f.is.Equal(response.StatusCode, http.StatusRequestTimeout)
	<-p.current().exited
	<-sender
	f.is.Equal(f.runCount("slow"), 0)
}
