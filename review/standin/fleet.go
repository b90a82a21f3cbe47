//go:build review

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"briarcroft/platform/standin"
)

// The bounds and sizes of a small deployment, as the platform writes them into the settings of a process (fleetbench wire).
const (
	heartbeat      = 1500 * time.Millisecond
	graceSeconds   = 6
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 64 << 20
	headerTimeout  = 3000
	idleTimeout    = 15000
	memoryLimit    = 284 << 20
)

// zones are the failure domains of the deployment.
var zones = []string{"ariana", "lamarsa", "barcelone"}

// fleet is a small deployment: the platform's store, entry hosts as processes, and targets.
type fleet struct {
	program, template, dir string
	record                 *record
	store                  *standin.Store
	storeAddress           string
	hosts                  []*host
	targets                []*target
	version                int
	ctx                    context.Context
	cancel                 context.CancelFunc
	closers                []func()
	// partition is set if hosts reach each other through proxies, and allowances are in force.
	partition *partition
	// lookups allows one look at the files of the processes at a time.
	lookups sync.Mutex
}

// newFleet starts the store. Hosts and targets are added with addHosts and addTarget.
func newFleet(program, template string, r *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &fleet{program: program, template: template, dir: dir, record: r, store: standin.New()}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: f.store.HandlerFor("all")}
	go func() { _ = server.Serve(l) }()
	f.storeAddress = l.Addr().String()
	f.closers = append(f.closers, func() { _ = server.Close() })
	return f, nil
}

// close ends all processes and removes the temporary folder.
func (f *fleet) close() {
	f.cancel()
	for _, h := range f.hosts {
		h.end()
	}
	for _, t := range f.targets {
		t.close()
	}
	for _, c := range f.closers {
		c()
	}
	_ = os.RemoveAll(f.dir)
}

// route is a route of the operator's config.
type route struct {
	Name     string `json:"name"`
	Host     string `json:"host"`
	Prefix   string `json:"prefix"`
	Kind     string `json:"kind"`
	Timeout  int    `json:"timeout-ms,omitempty"`
	Goal     int    `json:"latency-goal-ms"`
	Priority int    `json:"priority"`
	Service  string `json:"service,omitempty"`
	Attempts int    `json:"max-attempts"`
}

// writeConfig writes the next version of the config.
func (f *fleet) writeConfig(routes []route, services []string) {
	f.version++
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-path": "/health", "max-connections": 220, "protocol": "h1", "tls": false})
	}
	value, _ := json.Marshal(map[string]any{
		"version": fmt.Sprintf("%08x", f.version), "routes": routes, "services": list,
		"limits": map[string]any{"max-header-bytes": maxHeaderBytes, "max-body-bytes": maxBodyBytes, "header-timeout-ms": headerTimeout, "idle-timeout-ms": idleTimeout},
	})
	f.store.Put("op/config", value)
}

// host is an entry host: a process with the command of the deploy file.
type host struct {
	fleet                            *fleet
	name, zone, ip                   string
	front, ready, control, directory string
	// announced is the address at which other hosts reach this one: that of its proxy, or control.
	announced  string
	settings   string
	mu         sync.Mutex
	command    *exec.Cmd
	exited     chan struct{}
	mostMemory int64
}

// freeAddress returns an address of the given loopback IP with a free port.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// addHosts starts entry hosts, in the zones in turn, and waits until they are ready.
func (f *fleet) addHosts(n int) error {
	pid := os.Getpid()
	for i := range n {
		h := &host{fleet: f, name: fmt.Sprintf("edge-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)]}
		h.ip = fmt.Sprintf("127.%d.%d.%d", 64+pid%128, pid/128%256, 10+i)
		for _, a := range []*string{&h.front, &h.ready, &h.control, &h.directory} {
			address, err := freeAddress(h.ip)
			if err != nil {
				return err
			}
			*a = address
		}
		h.announced = h.control
		if f.partition != nil {
			announced, err := f.partition.proxy(h.zone, h.control)
			if err != nil {
				return err
			}
			h.announced = announced
		}
		f.hosts = append(f.hosts, h)
	}
	var seeds []string
	for _, h := range f.hosts[:min(3, n)] {
		seeds = append(seeds, h.announced)
	}
	template, err := os.ReadFile(f.template)
	if err != nil {
		return err
	}
	for _, h := range f.hosts {
		h.settings = filepath.Join(f.dir, h.name+".ini")
		text := render(string(template), h.fields(f.storeAddress, seeds))
		if f.partition != nil {
			text = strings.Replace(text, "[Host]\n", "[Host]\nAnnounced = "+h.announced+"\n", 1)
		}
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := h.start(); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := h.waitReady(20 * time.Second); err != nil {
			return err
		}
	}
	time.Sleep(4 * time.Second) // the hosts find each other
	return nil
}

// fields returns the fields with which the platform fills in the template.
func (h *host) fields(store string, seeds []string) map[string]string {
	fields := map[string]string{
		"node": h.name, "zone": h.zone, "region": "tunis-north", "ip": h.ip,
		"listen.front": h.front, "listen.ready": h.ready, "listen.control": h.control, "listen.directory": h.directory,
		"limits.cores": "1", "limits.cpu-share": "0.32", "limits.link-mbps": "1000.0", "limits.memory-mb": "284",
		"platform.address": store, "seeds": strings.Join(seeds, ","),
		"bounds.grace-s": strconv.Itoa(graceSeconds), "bounds.retry-budget-ratio": "0.2", "bounds.retry-window-s": "10", "bounds.retry-slack": "56", "bounds.probes-per-s": "60",
	}
	if h.fleet.partition != nil {
		fields["bounds.quota-window-s"], fields["bounds.quota-overage"], fields["bounds.quota-slack"] = "5", "0.1", "20"
	}
	return fields
}

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/([^}]+)\}\}`)
	fieldPattern   = regexp.MustCompile(`\{\{([^}#/]+)\}\}`)
)

// render fills in a template as DEPLOY.md tells: sections are left out without a value.
func render(template string, fields map[string]string) string {
	template = sectionPattern.ReplaceAllStringFunc(template, func(s string) string {
		m := sectionPattern.FindStringSubmatch(s)
		if fields[m[1]] == "" || m[1] != m[3] {
			return ""
		}
		return m[2]
	})
	return fieldPattern.ReplaceAllStringFunc(template, func(s string) string { return fields[s[2:len(s)-2]] })
}

// start starts the process of the host.
func (h *host) start() error {
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command(h.fleet.program, "serve")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.fleet.dir, "LANG=C", "BRIARCROFT_BOOT=" + h.settings}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.command, h.exited = c, exited
	h.mu.Unlock()
	go func() {
		err := c.Wait()
		_ = log.Close()
		h.fleet.record.add("host %s: process ended: %v", h.name, err)
		close(exited)
	}()
	return nil
}

// end kills the process of the host.
func (h *host) end() {
	h.mu.Lock()
	c, exited := h.command, h.exited
	h.mu.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		<-exited
	}
}

// signal sends a signal to the process of the host.
func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.command.Process.Signal(s)
}

// waitReady waits until the readiness check succeeds.
func (h *host) waitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + h.ready + "/api/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New(h.name + " is not ready")
}

// resolve asks a host's directory where to connect.
func (f *fleet) resolve(h *host, zone string) []*host {
	client := http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Get("http://" + h.directory + "/api/resolve?name=shop.example&region=tunis-north&zone=" + zone)
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return nil
	}
	var hosts []*host
	for _, other := range f.hosts {
		if slices.Contains(answer.Addresses, other.front) {
			hosts = append(hosts, other)
		}
	}
	return hosts
}

// memory returns the resident anonymous memory of the process in bytes.
func (h *host) memory() int64 {
	h.mu.Lock()
	pid := h.command.Process.Pid
	h.mu.Unlock()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			kb, _ := strconv.ParseInt(strings.Fields(value)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}
