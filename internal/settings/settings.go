// Package settings reads and checks the INI settings of one entry host.
package settings

import (
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"briarcroft/internal/document"

	"github.com/joomcode/errorx"
)

var namespace = errorx.NewNamespace("settings").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

// ErrFile reports a settings file that cannot be read.
var ErrFile = namespace.NewType("file")

// Host names this entry host and the addresses it listens on.
type Host struct {
	Name   string `required:"true"`
	Domain string `required:"true"`
	Region string
	Listen string `required:"true"`
	Inner  string `required:"true"`
	// Announced is where peers connect to, when that is not Inner: behind a translated address, for one.
	Announced string
	// Ready, Directory and Metrics are addresses of the host's own pages, for hosts whose requests are placed by homes.
	Ready     string
	Directory string
	Metrics   string
}

// PeerAddress returns the address that peers are told.
func (h Host) PeerAddress() string {
	if h.Announced != "" {
		return h.Announced
	}
	return h.Inner
}

// Platform locates the platform's key-value service and host list.
type Platform struct {
	Store    string `required:"true"`
	HostList string
	Timeout  time.Duration
	// Kind is the protocol of the store: Etcd for notes published with this program, Native for the users' platform.
	Kind string `allowed:"Etcd|Native"`
}

// Retries is the budget of arrivals at a service beyond the first of each request, over all hosts.
type Retries struct {
	// Ratio is the most repeats per request within Window, and Slack how many more there may be.
	Ratio  float64
	Window time.Duration
	Slack  int
}

// Peers lists inner addresses to ask first after a start.
type Peers struct {
	Seeds []string
}

// Limits bounds what callers may hold; sizes are in bytes.
type Limits struct {
	HeaderBytes    int
	KeyedBodyBytes int
	BodyBytes      int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	StopTimeout    time.Duration
	AddressMaxAge  time.Duration
	GrantWindow    time.Duration
	KeptEntries    int
	KeptBytes      int
	ClaimsPerSec   float64
	// HeldBytes bounds the memory that request bodies take.
	HeldBytes int
	// MemoryBytes is what the process may use before it collects garbage harder; zero means no limit.
	MemoryBytes int
}

// Budget bounds the cost of measuring load and latency.
type Budget struct {
	ProbesPerSec float64
	BytesPerSec  float64
	CoreShare    float64
}

// TLS names certificate files for callers and for peers; empty means plain TCP.
type TLS struct {
	CallerCertificate string
	CallerKey         string
	PeerCertificate   string
	PeerKey           string
	PeerAuthority     string
}

// Log sets the level of the structured log.
type Log struct {
	Level string `allowed:"debug|info|warn|error"`
}

// Settings is everything an entry host learns from its file.
type Settings struct {
	Host     Host
	Platform Platform
	Peers    Peers
	Limits   Limits
	Budget   Budget
	TLS      TLS
	Log      Log
	Retries  Retries
}

// Default returns settings with every optional key at its default.
func Default() Settings {
	return Settings{
		Host:     Host{Region: "default"},
		Platform: Platform{Timeout: 2 * time.Second, Kind: "Etcd"},
		Limits: Limits{
			HeaderBytes: 32 << 10, KeyedBodyBytes: 1 << 20, BodyBytes: 64 << 20,
			HeaderTimeout: 5 * time.Second, IdleTimeout: 90 * time.Second, StopTimeout: 20 * time.Second,
			AddressMaxAge: 2 * time.Second, GrantWindow: 30 * time.Second,
			KeptEntries: 100_000, KeptBytes: 16 << 20, ClaimsPerSec: 20, HeldBytes: 64 << 20,
		},
		Budget:  Budget{ProbesPerSec: 20, BytesPerSec: 10_000, CoreShare: 0.01},
		Log:     Log{Level: "info"},
		Retries: Retries{Ratio: 0.2, Window: 10 * time.Second, Slack: 20},
	}
}

// Load reads and checks a settings file.
func Load(file string) (Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, ErrFile.New("%v; name a readable INI file", err)
	}
	return Parse(file, text)
}

// Parse checks settings text; errors are document.ErrSyntax or document.ErrField.
func Parse(file string, text []byte) (Settings, error) {
	s := Default()
	d, err := document.Parse(file, text)
	if err != nil {
		return s, err
	}
	sections := []struct {
		name   string
		target any
	}{
		{"Host", &s.Host}, {"Platform", &s.Platform}, {"Peers", &s.Peers}, {"Limits", &s.Limits},
		{"Budget", &s.Budget}, {"TLS", &s.TLS}, {"Log", &s.Log}, {"Retries", &s.Retries},
	}
	allowed := map[string]bool{}
	var names []string
	for _, section := range sections {
		allowed[section.name] = true
		names = append(names, section.name)
	}
	for _, name := range d.Sections() {
		if !allowed[name] {
			return s, d.FieldError(name, "", "is unknown; allowed sections: "+strings.Join(names, ", "))
		}
	}
	for _, section := range sections {
		if err := d.Decode(section.name, section.target); err != nil {
			return s, err
		}
	}
	return s, check(d, s)
}

func check(d *document.Document, s Settings) error {
	addresses := []struct{ section, key, value string }{
		{"Host", "Listen", s.Host.Listen}, {"Host", "Inner", s.Host.Inner},
	}
	for _, seed := range s.Peers.Seeds {
		addresses = append(addresses, struct{ section, key, value string }{"Peers", "Seeds", seed})
	}
	for _, a := range addresses {
		if !isAddress(a.value) {
			return d.FieldError(a.section, a.key, "has value \""+a.value+"\"; write an IP number and port such as 127.0.0.1:8080")
		}
	}
	for _, a := range []struct{ key, value string }{{"Announced", s.Host.Announced}, {"Ready", s.Host.Ready}, {"Directory", s.Host.Directory}, {"Metrics", s.Host.Metrics}} {
		if a.value != "" && !isAddress(a.value) {
			return d.FieldError("Host", a.key, "has value \""+a.value+"\"; write an IP number and port such as 127.0.0.1:8080")
		}
	}
	if !isURL(s.Platform.Store) {
		return d.FieldError("Platform", "Store", "must be a URL such as http://127.0.0.1:2379")
	}
	if s.Platform.HostList != "" && !isURL(s.Platform.HostList) {
		return d.FieldError("Platform", "HostList", "must be a URL such as http://127.0.0.1:2380/Hosts")
	}
	if strings.ContainsAny(s.Host.Name, " ./,\"") {
		return d.FieldError("Host", "Name", "may hold letters, digits, - and _ only")
	}
	return checkNumbers(d, s)
}

func checkNumbers(d *document.Document, s Settings) error {
	positive := []struct {
		key string
		ok  bool
	}{
		{"HeaderBytes", s.Limits.HeaderBytes > 0}, {"KeyedBodyBytes", s.Limits.KeyedBodyBytes > 0},
		{"BodyBytes", s.Limits.BodyBytes > 0}, {"HeaderTimeout", s.Limits.HeaderTimeout > 0},
		{"StopTimeout", s.Limits.StopTimeout > 0}, {"GrantWindow", s.Limits.GrantWindow > 0},
		{"KeptEntries", s.Limits.KeptEntries > 0}, {"KeptBytes", s.Limits.KeptBytes > 0},
		{"AddressMaxAge", s.Limits.AddressMaxAge >= time.Second}, {"HeldBytes", s.Limits.HeldBytes > 0},
	}
	for _, p := range positive {
		if !p.ok {
			return d.FieldError("Limits", p.key, "is too small; write a value above zero (AddressMaxAge: 1s or more)")
		}
	}
	if s.Platform.Timeout <= 0 {
		return d.FieldError("Platform", "Timeout", "must be above zero; write a duration such as 2s")
	}
	if s.Retries.Window < time.Second {
		return d.FieldError("Retries", "Window", "must be at least 1s; write a duration such as 10s")
	}
	if s.Budget.CoreShare > 1 {
		return d.FieldError("Budget", "CoreShare", "must lie between 0 and 1")
	}
	t := s.TLS
	if (t.CallerCertificate == "") != (t.CallerKey == "") {
		return d.FieldError("TLS", "CallerKey", "needs CallerCertificate and CallerKey together")
	}
	if (t.PeerCertificate == "") != (t.PeerKey == "") || (t.PeerCertificate == "") != (t.PeerAuthority == "") {
		return d.FieldError("TLS", "PeerKey", "needs PeerCertificate, PeerKey and PeerAuthority together")
	}
	return nil
}

func isAddress(value string) bool {
	ip, port, err := net.SplitHostPort(value)
	return err == nil && net.ParseIP(ip) != nil && port != ""
}

func isURL(value string) bool {
	u, err := url.Parse(value)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
}
