package command

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestIdleConnectionsLeaveDescriptors guards against an entry host on Etcd whose descriptors are held by idle connections, so that
// it accepts no others and reaches no target until these time out.
func TestIdleConnectionsLeaveDescriptors(t *testing.T) {
	const descriptors, connections = 120, 200
	d := &deployment{is: is.New(t), dir: t.TempDir()}
	binary := filepath.Join(d.dir, "briarcroft")
	if build, err := exec.Command("go", "build", "-o", binary, "briarcroft/cmd/briarcroft").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, build)
	}
	d.binary = binary
	backends := d.startPlatform(t)
	d.binary = d.writeFile("limited", fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", descriptors, binary))
	d.is.NoErr(os.Chmod(d.binary, 0o700))
	d.startHost(t, 1, "")
	d.binary = binary
	note := d.writeFile("first.ini", fmt.Sprintf("[Note]\nFollows = 0\nOperator = o\nReason = first\n[Service s]\n[Rule r]\nPath = /\nService = s\n[Target a]\nService = s\nAddress = %s\nDomain = d1\n", backends[0]))
	code, _ := d.run("publish", "--store", d.store, "--note", note, "--host", d.listenAddresses[0])
	d.is.Equal(code, ExitSuccess)
	d.eventually("note 1 in force", func() bool { return d.converged(1, 1) })
	for range connections {
		conn, err := net.Dial("tcp", d.listenAddresses[0])
		d.is.NoErr(err)
		defer conn.Close()
		// The connection becomes idle after the response, or is closed.
		_, err = fmt.Fprint(conn, "GET /Health HTTP/1.1\r\nHost: x\r\n\r\n")
		d.is.NoErr(err)
	}
	client := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	served := func() bool {
		response, err := client.Get("http://" + d.listenAddresses[0] + "/x")
		if err != nil {
			return false
		}
		d.is.NoErr(response.Body.Close())
		return response.StatusCode == http.StatusOK
	}
	// Idle connections time out after 90 seconds by the settings.
	d.eventually("a request is served", served)
	for range 20 {
		d.is.True(served())
	}
}
