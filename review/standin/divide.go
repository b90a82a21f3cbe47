//go:build review

package main

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Sizes and times of the case divide. The bounds of allowances are those of bantayog-porting-grown.
const (
	divideHosts = 12
	cutZone     = "lamarsa"
	// survivor is the host of cutZone that is not killed.
	survivor    = "edge-lamarsa-2"
	cutLength   = 15 * time.Second
	cutGap      = 12 * time.Second
	cutTimes    = 3
	restartTime = 500 * time.Millisecond
	// restartAfter is the time from the beginning of a cut to the end of the processes.
	restartAfter = 5 * time.Second
	// The allowance of the account, and how many clients of it there are at the hosts of each side.
	accountRate, accountBurst = 50.0, 20.0
	accountClients            = 24
	quotaWindow               = 5 * time.Second
	quotaOverage, quotaSlack  = 0.1, 20.0
)

// partition divides a zone from the others: connections between them are reset while it lasts.
type partition struct {
	fleet *fleet
	mu    sync.Mutex
	cut   bool
	open  map[net.Conn]bool
}

// zoneOfPeer returns the failure domain of the host whose process has opened a connection to this process; it is empty if none has.
func (f *fleet) zoneOfPeer(conn net.Conn) string {
	f.lookups.Lock()
	defer f.lookups.Unlock()
	inode := inodeOf(conn.RemoteAddr().(*net.TCPAddr), conn.LocalAddr().(*net.TCPAddr))
	if inode == "" {
		return ""
	}
	link := "socket:[" + inode + "]"
	for _, h := range f.hosts {
		h.mu.Lock()
		c := h.command
		h.mu.Unlock()
		if c == nil {
			continue
		}
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", c.Process.Pid))
		for _, file := range files {
			if target, err := os.Readlink(file); err == nil && target == link {
				return h.zone
			}
		}
	}
	return ""
}

// inodeOf returns the inode of the socket with the given ends; it is empty if there is none.
func inodeOf(local, remote *net.TCPAddr) string {
	if inode, asked := askInode(local, remote); asked {
		return inode
	}
	return listedInode(local, remote)
}

// listedInode looks for a socket in the kernel's list of all. It is slow, and used only where askInode cannot ask.
func listedInode(local, remote *net.TCPAddr) string {
	encode := func(a *net.TCPAddr) string {
		return fmt.Sprintf("%08X:%04X", binary.NativeEndian.Uint32(a.IP.To4()), a.Port)
	}
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return ""
	}
	want := " " + encode(local) + " " + encode(remote) + " "
	for line := range strings.SplitSeq(string(data), "\n") {
		if strings.Contains(line, want) {
			return strings.Fields(line)[9]
		}
	}
	return ""
}

// askInode asks the kernel for the inode of one socket, and reports whether it could be asked.
func askInode(local, remote *net.TCPAddr) (inode string, asked bool) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return "", false
	}
	defer unix.Close(fd)
	_ = unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 1})
	const (
		diagByFamily = 20
		headBytes    = 16
		inodeAt      = headBytes + 68
	)
	request := make([]byte, headBytes+56)
	binary.NativeEndian.PutUint32(request, uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], diagByFamily)
	binary.NativeEndian.PutUint16(request[6:], unix.NLM_F_REQUEST)
	body := request[headBytes:]
	body[0], body[1] = unix.AF_INET, unix.IPPROTO_TCP
	binary.NativeEndian.PutUint32(body[4:], ^uint32(0))
	binary.BigEndian.PutUint16(body[8:], uint16(local.Port))
	binary.BigEndian.PutUint16(body[10:], uint16(remote.Port))
	copy(body[12:], local.IP.To4())
	copy(body[28:], remote.IP.To4())
	binary.NativeEndian.PutUint64(body[48:], ^uint64(0))
	if err := unix.Sendto(fd, request, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return "", false
	}
	reply := make([]byte, 4096)
	n, _, err := unix.Recvfrom(fd, reply, 0)
	switch {
	case err != nil || n < headBytes+4:
		return "", false
	case binary.NativeEndian.Uint16(reply[4:]) == unix.NLMSG_ERROR:
		return "", int32(binary.NativeEndian.Uint32(reply[headBytes:])) == -int32(unix.ENOENT)
	case n < inodeAt+4:
		return "", false
	}
	return strconv.Itoa(int(binary.NativeEndian.Uint32(reply[inodeAt:]))), true
}

// admits reports whether a connection to something in a zone may be used, and remembers whether it crosses to the cut zone.
func (p *partition) admits(conn net.Conn, zone string) bool {
	crosses := (p.fleet.zoneOfPeer(conn) == cutZone) != (zone == cutZone)
	p.mu.Lock()
	defer p.mu.Unlock()
	if crosses && p.cut {
		reset(conn)
		return false
	}
	if crosses {
		p.open[conn] = true
	}
	return true
}

func (p *partition) forget(conn net.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, conn)
}

// set begins or ends the partition; at its beginning it resets the connections that cross it.
func (p *partition) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if !cut {
		return
	}
	for conn := range p.open {
		reset(conn)
	}
	clear(p.open)
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// proxy forwards connections of hosts to an address in a zone, and returns its own address.
func (p *partition) proxy(zone, address string) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.fleet.closers = append(p.fleet.closers, func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				defer p.forget(conn)
				if !p.admits(conn, zone) {
					return
				}
				upstream, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					reset(conn)
					return
				}
				defer upstream.Close()
				done := make(chan struct{}, 2)
				for _, pair := range [][2]net.Conn{{conn, upstream}, {upstream, conn}} {
					go func() {
						_, _ = io.Copy(pair[0], pair[1])
						done <- struct{}{}
					}()
				}
				<-done
			}()
		}
	}()
	return l.Addr().String(), nil
}

// accountRun is a request of the account that a target has run.
type accountRun struct{ sent, arrived time.Time }

// playDivide: a zone is cut off from the others and from the store, and after some seconds its hosts but one are killed and start again.
// One account asks for more than its allowance at hosts of both sides.
func playDivide(f *fleet, trouble bool) error {
	p := &partition{fleet: f, open: map[net.Conn]bool{}}
	f.partition = p
	store, err := p.proxy("", f.storeAddress)
	if err != nil {
		return err
	}
	f.storeAddress = store
	value, _ := json.Marshal(map[string]any{
		"version":  "00000001",
		"routes":   []route{{Name: "lookups", Host: "shop.example", Prefix: "/lookups/", Kind: "unsafe", Timeout: 2500, Goal: 600, Priority: 1, Service: "holderdir", Attempts: 2}},
		"services": []map[string]any{{"name": "holderdir", "health-path": "/health", "max-connections": 220, "protocol": "h1", "tls": false}},
		"tenants":  []map[string]any{{"name": "telco", "api-keys": []string{"key-1"}, "priority": 1, "rate-per-s": accountRate, "burst": accountBurst}},
		"limits":   map[string]any{"max-header-bytes": maxHeaderBytes, "max-body-bytes": maxBodyBytes, "header-timeout-ms": headerTimeout, "idle-timeout-ms": idleTimeout},
	})
	f.store.Put("op/config", value)
	var mu sync.Mutex
	sent := map[string]time.Time{}
	var runs []accountRun
	answer := func(t *target, c *call) {
		mu.Lock()
		runs = append(runs, accountRun{sent[c.id], c.arrived})
		mu.Unlock()
		t.reply(c, http.StatusOK, []byte("done "+c.id+"\n"))
	}
	for i := range 30 {
		if err := f.addTarget(fmt.Sprintf("i-%04x", 0x1000+i), "holderdir", zones[i%3], 60*time.Millisecond, answer); err != nil {
			return err
		}
	}
	if err := f.addHosts(divideHosts); err != nil {
		return err
	}
	time.Sleep(6 * time.Second) // a holder is elected, and watchers have registered
	end := time.Now().Add(cutTimes * (cutGap + cutLength))
	var clients sync.WaitGroup
	for n := range 2 * accountClients {
		clients.Go(func() {
			for time.Now().Before(end) {
				h := f.hosts[rand.IntN(len(f.hosts))]
				if (h.zone == cutZone) != (n%2 == 0) {
					continue
				}
				c, err := connect(h.front)
				if err != nil {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				for time.Now().Before(end) {
					id := newID()
					var request bytes.Buffer
					fmt.Fprintf(&request, "POST /lookups/%x HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: 2500\r\nX-Credential: key-1\r\nContent-Length: 0\r\n\r\n", rand.Uint32(), id)
					mu.Lock()
					sent[id] = time.Now()
					mu.Unlock()
					if _, err := c.Write(request.Bytes()); err != nil {
						break
					}
					r := c.read(http.MethodPost, time.Now().Add(2500*time.Millisecond))
					f.record.add("client: %s at %s ends with status %d, error %v", id, h.name, r.status, r.err)
					f.record.count("status "+strconv.Itoa(r.status), 1)
					if r.closes() {
						break
					}
					time.Sleep(time.Duration(50+rand.IntN(200)) * time.Millisecond)
				}
				_ = c.Close()
			}
		})
	}
	for range cutTimes {
		time.Sleep(cutGap)
		f.record.add("zone %s: cut off, and its hosts but %s killed %v later: %v", cutZone, survivor, restartAfter, trouble)
		if trouble {
			p.set(true)
		}
		time.Sleep(restartAfter)
		if trouble {
			f.restartZone(cutZone)
		}
		time.Sleep(cutLength - restartAfter - restartTime - time.Second)
		f.record.add("holders of the token buckets, by their own metrics: %v", f.holders())
		time.Sleep(time.Second)
		p.set(false)
		f.record.add("zone %s: reached again", cutZone)
	}
	clients.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	checkQuota(f.record, runs)
	return nil
}

// holders returns the hosts that say that they hold the token buckets of all accounts.
func (f *fleet) holders() []string {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	var names []string
	for _, h := range f.hosts {
		response, err := client.Get("http://" + h.ip + ":9630/Metrics")
		if err != nil {
			continue
		}
		var metrics struct{ Allowances struct{ Holding bool } }
		if json.NewDecoder(response.Body).Decode(&metrics) == nil && metrics.Allowances.Holding {
			names = append(names, h.name)
		}
		_ = response.Body.Close()
	}
	return names
}

// restartZone kills the hosts of a zone but one, and starts them again after a short delay.
func (f *fleet) restartZone(zone string) {
	var killed []*host
	for _, h := range f.hosts {
		if h.zone == zone && h.name != survivor {
			h.signal(syscall.SIGKILL)
			killed = append(killed, h)
		}
	}
	time.Sleep(restartTime)
	for _, h := range killed {
		<-h.exited
		_ = h.start()
	}
}

// checkQuota counts in each window the requests that were sent and arrived inside it.
func checkQuota(r *record, runs []accountRun) {
	bound := (accountRate*quotaWindow.Seconds()+accountBurst)*(1+quotaOverage) + quotaSlack
	slices.SortFunc(runs, func(a, b accountRun) int { return a.sent.Compare(b.sent) })
	most, at := 0, time.Time{}
	for i, first := range runs {
		count := 0
		for _, run := range runs[i:] {
			if run.sent.Sub(first.sent) > quotaWindow {
				break
			}
			if run.arrived.Sub(first.sent) <= quotaWindow {
				count++
			}
		}
		if count > most {
			most, at = count, first.sent
		}
	}
	r.count("most requests in a window", most)
	r.count("allowed in a window", int(bound))
	if float64(most) > bound {
		r.breaks("QUOTA: from %.3f s on, %d requests of the account were sent and ran within %v, where at most %.0f may", at.Sub(r.start).Seconds(), most, quotaWindow, bound)
	}
}
