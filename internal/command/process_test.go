package command

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"briarcroft/internal/caller"
	"briarcroft/internal/operator"

	"github.com/matryer/is"
)

// patience bounds how long the test waits for something that must come; it decides nothing else.
const patience = 30 * time.Second

// process is the real binary at work.
type process struct {
	*exec.Cmd
	lines *bufio.Scanner
}

// system is a store, two backend servers and three entry hosts as processes.
type system struct {
	is     *is.I
	binary string
	dir    string
	store  string
	hosts  []*process
	listen []string
}

func (s *system) command(arguments ...string) *exec.Cmd { return exec.Command(s.binary, arguments...) }

// run runs a command to its end and returns its exit code and what it printed.
func (s *system) run(arguments ...string) (int, string) {
	c := s.command(arguments...)
	var out bytes.Buffer
	c.Stdout, c.Stderr = &out, &out
	if err := c.Run(); c.ProcessState == nil {
		s.is.NoErr(err)
	}
	return c.ProcessState.ExitCode(), out.String()
}

func (s *system) file(name, text string) string {
	path := filepath.Join(s.dir, name)
	s.is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// startPlatform starts the stand-ins and returns the backend servers' addresses.
func (s *system) startPlatform(t *testing.T) []string {
	c := s.command("standin", "--listen", "127.0.0.1:0", "--backend", "127.0.0.1:0", "--backend", "127.0.0.1:0")
	out, err := c.StdoutPipe()
	s.is.NoErr(err)
	s.is.NoErr(c.Start())
	t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	var backends []string
	lines := bufio.NewScanner(out)
	for s.store == "" && lines.Scan() {
		if address, found := strings.CutPrefix(lines.Text(), "backend server on "); found {
			backends = append(backends, address)
		}
		if rest, found := strings.CutPrefix(lines.Text(), "key-value service on "); found {
			s.store, _, _ = strings.Cut(rest, ",")
		}
	}
	return backends
}

// startHost starts an entry host and reads its addresses from its log.
func (s *system) startHost(t *testing.T, number int, seed string) string {
	text := fmt.Sprintf("[Host]\nName = entry-%d\nDomain = d%d\nListen = 127.0.0.1:0\nInner = 127.0.0.1:0\n[Platform]\nStore = %s\nHostList = %s/Hosts\n[Peers]\nSeeds = %s\n[Limits]\nAddressMaxAge = 1s\n",
		number, number, s.store, s.store, seed)
	c := s.command("serve", "--config", s.file(fmt.Sprintf("entry-%d.ini", number), text))
	log, err := c.StderrPipe()
	s.is.NoErr(err)
	s.is.NoErr(c.Start())
	t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	p := &process{c, bufio.NewScanner(log)}
	for p.lines.Scan() {
		var line struct{ Message, Listen, Inner string }
		s.is.NoErr(json.Unmarshal(p.lines.Bytes(), &line)) // every log line is JSON
		if line.Message == "entry host started" {
			go func() {
				for p.lines.Scan() {
					// The log must be read, or the host would wait.
				}
			}()
			s.hosts, s.listen = append(s.hosts, p), append(s.listen, line.Listen)
			return line.Inner
		}
	}
	t.Fatal("the entry host did not start")
	return ""
}

// eventually waits for a condition.
func (s *system) eventually(what string, condition func() bool) {
	for end := time.Now().Add(patience); time.Now().Before(end); {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.is.Equal(what, "") // did not come about
}

func (s *system) status() []operator.HostStatus {
	client, closeClient := operator.New(operator.Config{Hosts: s.listen, Timeout: 500 * time.Millisecond})
	defer closeClient()
	return client.Status(context.Background())
}

// agree reports whether the given number of hosts are ready, know as many peers and have a note in force.
func (s *system) agree(hosts, number int) bool {
	count := 0
	for _, h := range s.status() {
		if h.Error == "" && h.Status.Ready && h.Note.Number == number && len(h.Status.Peers) == hosts-1 {
			count++
		}
	}
	return count == hosts
}

// TestProcesses runs the real binary: publish, status, verify, explain, a stop under load, a pause and bad input.
func TestProcesses(t *testing.T) {
	s := &system{is: is.New(t), dir: t.TempDir()}
	s.binary = filepath.Join(s.dir, "briarcroft")
	build, err := exec.Command("go", "build", "-o", s.binary, "briarcroft/cmd/briarcroft").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, build)
	}
	backends := s.startPlatform(t)
	s.is.Equal(len(backends), 2)
	seed := s.startHost(t, 1, "")
	s.startHost(t, 2, seed)
	s.startHost(t, 3, seed)
	first := s.file("first.ini", fmt.Sprintf("[Note]\nFollows = 0\nOperator = o\nReason = first\n[Service s]\n[Rule r]\nPath = /\nService = s\n[Target a]\nService = s\nAddress = %s\nDomain = d1\n[Target b]\nService = s\nAddress = %s\nDomain = d2\n", backends[0], backends[1]))

	checkInput(s, first)
	code, out := s.run("publish", "--store", s.store, "--note", first, "--host", s.listen[0], "--host", s.listen[1], "--host", s.listen[2])
	s.is.Equal(code, ExitSuccess)
	s.is.True(strings.HasPrefix(out, "note 1 accepted"))
	s.is.True(strings.Contains(out, "in force on 3 hosts"))
	s.eventually("note 1 in force on three hosts", func() bool { return s.agree(3, 1) })
	code, out = s.run("publish", "--store", s.store, "--note", first)
	s.is.Equal(code, ExitConflict)
	s.is.True(strings.Contains(out, "set Follows = 1"))

	response, err := http.Get("http://" + s.listen[2] + "/hello")
	s.is.NoErr(err)
	s.is.Equal(response.StatusCode, http.StatusOK)
	s.is.NoErr(response.Body.Close())

	checkMonitor(s)
	checkPause(s)
	checkStop(s)
}

// checkInput gives bad input to check and publish; nothing may change.
func checkInput(s *system, first string) {
	bad := s.file("bad.ini", "[Note]\nFollows = 0\nOperator = o\nReason = r\n[Service s]\nHome = 1\n")
	cases := []struct {
		arguments []string
		code      int
		want      string
	}{
		{[]string{"check", "--note", first}, ExitSuccess, "in order"},
		{[]string{"check", "--note", bad}, ExitBadInput, "bad.ini:6: section [Service s] key Home is unknown"},
		{[]string{"publish", "--store", s.store, "--note", bad}, ExitBadInput, "key Home is unknown"},
		{[]string{"check", "--config", filepath.Join(s.dir, "none.ini")}, ExitBadInput, "name a readable INI file"},
		{[]string{"check"}, ExitBadInput, "--config or --note"},
		{[]string{"nonsense"}, ExitBadInput, "nknown command"},
		{[]string{"publish", "--help"}, ExitSuccess, "--store"},
		{[]string{"version"}, ExitSuccess, "briarcroft"},
		{[]string{"demo", "--length", "0s"}, ExitBadInput, "--length"},
		{[]string{"status", "--host", "127.0.0.1:1"}, ExitSuccess, "check that the host runs"},
	}
	for _, c := range cases {
		code, out := s.run(c.arguments...)
		if code != c.code || !strings.Contains(out, c.want) {
			s.is.Equal(fmt.Sprint(c.arguments, " exit ", code, ": ", out), c.want)
		}
	}
	s.is.Equal(s.status()[0].Note.Number, 0)
}

// checkMonitor reads explanations and verifies the chain.
func checkMonitor(s *system) {
	hosts := []string{"--host", s.listen[0], "--host", s.listen[1], "--host", s.listen[2]}
	code, out := s.run(append([]string{"verify", "--store", s.store}, hosts...)...)
	s.is.Equal(code, ExitSuccess)
	s.is.Equal(strings.Count(out, "agrees"), 3)
	code, out = s.run(append([]string{"explain", "--target", "a"}, hosts...)...)
	s.is.Equal(code, ExitSuccess)
	s.is.Equal(strings.Count(out, "TargetMoved service s target a from \"Absent\" to \"Live\", cause AddedByNote"), 3)
	code, out = s.run(append([]string{"explain", "--target", "a", "--why"}, hosts...)...)
	s.is.Equal(code, ExitSuccess)
	s.is.Equal(strings.Count(out, "could get requests for"), 3)
	code, _ = s.run(append([]string{"explain", "--why"}, hosts...)...)
	s.is.Equal(code, ExitBadInput)
	code, out = s.run(append([]string{"addresses", "--service", "s", "--json"}, hosts...)...)
	s.is.Equal(code, ExitSuccess)
	s.is.True(strings.Contains(out, "\"Grant\": \"g1.entry-1."))
	page := filepath.Join(s.dir, "report.html")
	code, _ = s.run(append([]string{"report", "--store", s.store, "--out", page}, hosts...)...)
	s.is.Equal(code, ExitSuccess)
	text, err := os.ReadFile(page)
	s.is.NoErr(err)
	s.is.Equal(strings.Count(string(text), ">agrees<"), 3)
	code, _ = s.run(append([]string{"report", "--store", s.store, "--out", page}, hosts...)...)
	s.is.Equal(code, ExitFailed) // an existing file is not overwritten
	code, _ = s.run(append([]string{"verify", "--store", s.store, "--host", "127.0.0.1:1"}, hosts...)...)
	s.is.Equal(code, ExitFailed)
}

// checkPause freezes a host: the others must take it out of their answers and take it back after it woke.
func checkPause(s *system) {
	paused := s.hosts[1]
	s.is.NoErr(paused.Process.Signal(syscall.SIGSTOP))
	s.eventually("two hosts without the paused one", func() bool {
		count := 0
		for i, h := range s.status() {
			if i != 1 && h.Error == "" && len(h.Status.Peers) == 1 {
				count++
			}
		}
		return count == 2
	})
	s.is.NoErr(paused.Process.Signal(syscall.SIGCONT))
	s.eventually("three hosts again", func() bool { return s.agree(3, 1) })
	code, out := s.run("explain", "--host", s.listen[1])
	s.is.Equal(code, ExitSuccess)
	s.is.True(strings.Contains(out, "HostPaused"))
}

// checkStop sends SIGTERM to a host under load: no request may be cut, and the exit code must be 0.
func checkStop(s *system) {
	ctx, cancel := context.WithCancel(context.Background())
	var load sync.WaitGroup
	var mu sync.Mutex
	failures := 0
	for i := range 6 {
		client, closeClient := caller.New(caller.Config{Seeds: s.listen, Seed: uint64(i)})
		load.Go(func() {
			defer closeClient()
			for n := 0; ctx.Err() == nil; n++ {
				r := caller.Request{Service: "s", Method: http.MethodGet, Path: fmt.Sprintf("/%d", n)}
				if i%2 == 0 {
					r.Method, r.Once = http.MethodPost, true
				}
				answer, err := client.Do(context.Background(), r)
				if err != nil || answer.Status != http.StatusOK || answer.Sends != 1 {
					mu.Lock()
					failures++
					mu.Unlock()
				}
			}
		})
	}
	code, out := s.run("addresses", "--service", "s", "--host", s.listen[0])
	s.is.Equal(code, ExitSuccess)
	home := 0
	for i, listen := range s.listen {
		if strings.HasPrefix(strings.Split(out, "\n")[1], listen) {
			home = i
		}
	}
	s.is.NoErr(s.hosts[home].Process.Signal(syscall.SIGTERM))
	s.is.NoErr(s.hosts[home].Wait()) // exit code 0
	cancel()
	load.Wait()
	s.is.Equal(failures, 0) // requests cut or sent again
}
