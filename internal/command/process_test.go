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

// waitTimeout bounds how long the test waits for an expected state; a longer one only delays a failure.
const waitTimeout = 30 * time.Second

// process is an entry host that runs the real binary as a child process, with a scanner of its log.
type process struct {
	*exec.Cmd
	logLines *bufio.Scanner
}

// deployment is a process with test doubles of the store and of two backend servers, and processes of three entry
// hosts.
type deployment struct {
	is              *is.I
	binary          string
	dir             string
	store           string
	hosts           []*process
	listenAddresses []string
}

// newCommand returns a command that runs the binary with the arguments.
func (d *deployment) newCommand(arguments ...string) *exec.Cmd {
	return exec.Command(d.binary, arguments...)
}

// run runs the binary to its end and returns its exit code and its combined output.
func (d *deployment) run(arguments ...string) (int, string) {
	c := d.newCommand(arguments...)
	var out bytes.Buffer
	c.Stdout, c.Stderr = &out, &out
	if err := c.Run(); c.ProcessState == nil {
		d.is.NoErr(err)
	}
	return c.ProcessState.ExitCode(), out.String()
}

// writeFile writes a file to the deployment's directory and returns its path.
func (d *deployment) writeFile(name, content string) string {
	path := filepath.Join(d.dir, name)
	d.is.NoErr(os.WriteFile(path, []byte(content), 0o600))
	return path
}

// startPlatform starts the standin command, which serves the store, the host list and two backend servers, and returns
// the addresses of the backend servers.
func (d *deployment) startPlatform(t *testing.T) []string {
	c := d.newCommand("standin", "--listen", "127.0.0.1:0", "--backend", "127.0.0.1:0", "--backend", "127.0.0.1:0")
	out, err := c.StdoutPipe()
	d.is.NoErr(err)
	d.is.NoErr(c.Start())
	t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	var backends []string
	lines := bufio.NewScanner(out)
	for d.store == "" && lines.Scan() {
		if address, found := strings.CutPrefix(lines.Text(), "backend server on "); found {
			backends = append(backends, address)
		}
		if url, found := strings.CutPrefix(lines.Text(), "key-value service on "); found {
			d.store, _, _ = strings.Cut(url, ",")
		}
	}
	return backends
}

// startHost starts an entry host, whose addresses it reads from its log, and returns the host's address for peers. The
// seed is the address for peers of a host that runs already, or empty.
func (d *deployment) startHost(t *testing.T, number int, seed string) string {
	content := fmt.Sprintf("[Host]\nName = entry-%d\nDomain = d%d\nListen = 127.0.0.1:0\nInner = 127.0.0.1:0\n[Platform]\nStore = %s\nHostList = %s/Hosts\n[Peers]\nSeeds = %s\n[Limits]\nAddressMaxAge = 1s\n",
		number, number, d.store, d.store, seed)
	c := d.newCommand("serve", "--config", d.writeFile(fmt.Sprintf("entry-%d.ini", number), content))
	log, err := c.StderrPipe()
	d.is.NoErr(err)
	d.is.NoErr(c.Start())
	t.Cleanup(func() { _ = c.Process.Kill(); _ = c.Wait() })
	host := &process{c, bufio.NewScanner(log)}
	for host.logLines.Scan() {
		var entry struct{ Message, Listen, Inner string }
		d.is.NoErr(json.Unmarshal(host.logLines.Bytes(), &entry)) // every log line is JSON
		if entry.Message == "entry host started" {
			go func() {
				for host.logLines.Scan() {
					// Unread output would fill the pipe and block the host.
				}
			}()
			d.hosts, d.listenAddresses = append(d.hosts, host), append(d.listenAddresses, entry.Listen)
			return entry.Inner
		}
	}
	t.Fatal("the entry host ended without logging that it had started")
	return ""
}

// eventually waits until a condition holds; the test fails if it does not within waitTimeout.
func (d *deployment) eventually(description string, condition func() bool) {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); {
		if condition() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	d.is.Equal(description, "") // the condition did not hold in time
}

// status returns what the status command shows for every entry host.
func (d *deployment) status() []operator.HostStatus {
	client, closeClient := operator.New(operator.Config{Hosts: d.listenAddresses, Timeout: 500 * time.Millisecond})
	defer closeClient()
	return client.Status(context.Background())
}

// converged reports whether the given number of hosts are ready, each see all others as peers, and have the note with
// the given number in force.
func (d *deployment) converged(hosts, number int) bool {
	count := 0
	for _, h := range d.status() {
		if h.Error == "" && h.Status.Ready && h.Note.Number == number && len(h.Status.Peers) == hosts-1 {
			count++
		}
	}
	return count == hosts
}

// TestProcesses runs the real binary: the operator commands with valid and invalid input, an entry host that is paused,
// and a graceful stop under load.
func TestProcesses(t *testing.T) {
	d := &deployment{is: is.New(t), dir: t.TempDir()}
	d.binary = filepath.Join(d.dir, "briarcroft")
	build, err := exec.Command("go", "build", "-o", d.binary, "briarcroft/cmd/briarcroft").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, build)
	}
	backends := d.startPlatform(t)
	d.is.Equal(len(backends), 2)
	seed := d.startHost(t, 1, "")
	d.startHost(t, 2, seed)
	d.startHost(t, 3, seed)
	firstNote := d.writeFile("first.ini", fmt.Sprintf("[Note]\nFollows = 0\nOperator = o\nReason = first\n[Service s]\n[Rule r]\nPath = /\nService = s\n[Target a]\nService = s\nAddress = %s\nDomain = d1\n[Target b]\nService = s\nAddress = %s\nDomain = d2\n", backends[0], backends[1]))

	checkExitCodes(d, firstNote)
	code, out := d.run("publish", "--store", d.store, "--note", firstNote, "--host", d.listenAddresses[0], "--host", d.listenAddresses[1], "--host", d.listenAddresses[2])
	d.is.Equal(code, ExitSuccess)
	d.is.True(strings.HasPrefix(out, "note 1 accepted"))
	d.is.True(strings.Contains(out, "in force on 3 hosts"))
	d.eventually("note 1 in force on three hosts", func() bool { return d.converged(3, 1) })
	code, out = d.run("publish", "--store", d.store, "--note", firstNote)
	d.is.Equal(code, ExitConflict)
	d.is.True(strings.Contains(out, "set Follows = 1"))

	response, err := http.Get("http://" + d.listenAddresses[2] + "/hello")
	d.is.NoErr(err)
	d.is.Equal(response.StatusCode, http.StatusOK)
	d.is.NoErr(response.Body.Close())

	checkOperatorCommands(d)
	checkPausedHost(d)
	checkGracefulStop(d)
}

// checkExitCodes runs commands with valid and invalid arguments and checks their exit codes and output; afterwards
// no note may be in force.
func checkExitCodes(d *deployment, validNote string) {
	invalidNote := d.writeFile("bad.ini", "[Note]\nFollows = 0\nOperator = o\nReason = r\n[Service s]\nHome = 1\n")
	cases := []struct {
		arguments []string
		code      int
		want      string
	}{
		{[]string{"check", "--note", validNote}, ExitSuccess, "in order"},
		{[]string{"check", "--note", invalidNote}, ExitBadInput, "bad.ini:6: section [Service s] key Home is unknown"},
		{[]string{"publish", "--store", d.store, "--note", invalidNote}, ExitBadInput, "key Home is unknown"},
		{[]string{"check", "--config", filepath.Join(d.dir, "none.ini")}, ExitBadInput, "name a readable INI file"},
		{[]string{"check"}, ExitBadInput, "--config or --note"},
		{[]string{"nonsense"}, ExitBadInput, "nknown command"},
		{[]string{"publish", "--help"}, ExitSuccess, "--store"},
		{[]string{"version"}, ExitSuccess, "briarcroft"},
		{[]string{"demo", "--length", "0s"}, ExitBadInput, "--length"},
		{[]string{"status", "--host", "127.0.0.1:1"}, ExitSuccess, "check that the host runs"},
	}
	for _, c := range cases {
		code, out := d.run(c.arguments...)
		if code != c.code || !strings.Contains(out, c.want) {
			d.is.Equal(fmt.Sprint(c.arguments, " exit ", code, ": ", out), c.want)
		}
	}
	d.is.Equal(d.status()[0].Note.Number, 0)
}

// checkOperatorCommands runs verify, explain, addresses and report against the three hosts, and verify also against an
// address where no host listens.
func checkOperatorCommands(d *deployment) {
	hosts := []string{"--host", d.listenAddresses[0], "--host", d.listenAddresses[1], "--host", d.listenAddresses[2]}
	code, out := d.run(append([]string{"verify", "--store", d.store}, hosts...)...)
	d.is.Equal(code, ExitSuccess)
	d.is.Equal(strings.Count(out, "agrees"), 3)
	code, out = d.run(append([]string{"explain", "--target", "a"}, hosts...)...)
	d.is.Equal(code, ExitSuccess)
	d.is.Equal(strings.Count(out, "TargetMoved service s target a from \"Absent\" to \"Live\", cause AddedByNote"), 3)
	code, out = d.run(append([]string{"explain", "--target", "a", "--why"}, hosts...)...)
	d.is.Equal(code, ExitSuccess)
	d.is.Equal(strings.Count(out, "could get requests for"), 3)
	code, _ = d.run(append([]string{"explain", "--why"}, hosts...)...)
	d.is.Equal(code, ExitBadInput)
	code, out = d.run(append([]string{"addresses", "--service", "s", "--json"}, hosts...)...)
	d.is.Equal(code, ExitSuccess)
	d.is.True(strings.Contains(out, "\"Grant\": \"g1.entry-1."))
	page := filepath.Join(d.dir, "report.html")
	code, _ = d.run(append([]string{"report", "--store", d.store, "--out", page}, hosts...)...)
	d.is.Equal(code, ExitSuccess)
	html, err := os.ReadFile(page)
	d.is.NoErr(err)
	d.is.Equal(strings.Count(string(html), ">agrees<"), 3)
	code, _ = d.run(append([]string{"report", "--store", d.store, "--out", page}, hosts...)...)
	d.is.Equal(code, ExitFailed) // an existing file is not overwritten
	code, _ = d.run(append([]string{"verify", "--store", d.store, "--host", "127.0.0.1:1"}, hosts...)...)
	d.is.Equal(code, ExitFailed)
}

// checkPausedHost pauses the process of a host with SIGSTOP: the other hosts must stop counting it as a peer, and must
// count it again after SIGCONT. The paused host must record that it was paused.
func checkPausedHost(d *deployment) {
	paused := d.hosts[1]
	d.is.NoErr(paused.Process.Signal(syscall.SIGSTOP))
	d.eventually("two hosts without the paused one", func() bool {
		count := 0
		for i, h := range d.status() {
			if i != 1 && h.Error == "" && len(h.Status.Peers) == 1 {
				count++
			}
		}
		return count == 2
	})
	d.is.NoErr(paused.Process.Signal(syscall.SIGCONT))
	d.eventually("three hosts after the pause", func() bool { return d.converged(3, 1) })
	code, out := d.run("explain", "--host", d.listenAddresses[1])
	d.is.Equal(code, ExitSuccess)
	d.is.True(strings.Contains(out, "HostPaused"))
}

// checkGracefulStop sends SIGTERM to the home of the service under load: no request may fail or be sent twice, and the
// exit code must be 0.
func checkGracefulStop(d *deployment) {
	ctx, cancel := context.WithCancel(context.Background())
	var senders sync.WaitGroup
	var mu sync.Mutex
	failures := 0
	for i := range 6 {
		client, closeClient := caller.New(caller.Config{Seeds: d.listenAddresses, Seed: uint64(i)})
		senders.Go(func() {
			defer closeClient()
			for n := 0; ctx.Err() == nil; n++ {
				r := caller.Request{Service: "s", Method: http.MethodGet, Path: fmt.Sprintf("/%d", n)}
				if i%2 == 0 {
					r.Method, r.AtMostOnce = http.MethodPost, true
				}
				response, err := client.Do(context.Background(), r)
				if err != nil || response.Status != http.StatusOK || response.Attempts != 1 {
					mu.Lock()
					failures++
					mu.Unlock()
				}
			}
		})
	}
	code, out := d.run("addresses", "--service", "s", "--host", d.listenAddresses[0])
	d.is.Equal(code, ExitSuccess)
	home := 0
	for i, listen := range d.listenAddresses {
		if strings.HasPrefix(strings.Split(out, "\n")[1], listen) {
			home = i
		}
	}
	d.is.NoErr(d.hosts[home].Process.Signal(syscall.SIGTERM))
	d.is.NoErr(d.hosts[home].Wait()) // Wait returns an error unless the exit code is 0
	cancel()
	senders.Wait()
	d.is.Equal(failures, 0) // requests that failed or were sent more than once
}
