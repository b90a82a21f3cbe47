// Package settings reads and checks the settings of one entry host, an INI file, and watches that file for changes.
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

// Host names this entry host, its failure domain and region, and the addresses that it listens on: Listen for callers and
// Inner for other entry hosts.
type Host struct {
	Name   string `required:"true"`
	Domain string `required:"true"`
	Region string
	Listen string `required:"true"`
	Inner  string `required:"true"`
	// Announced is the address that other entry hosts connect to, if it differs from Inner, for instance behind NAT.
	Announced string
	// Ready, Directory and Metrics are the addresses of the readiness check, of the directory of entry hosts and of the
	// metrics. Only hosts with Platform.Kind Native use them.
	Ready     string
	Directory string
	Metrics   string
	// Cores is the number of processor cores, CoreShare the share of each that the host may use, from 0 to 1, and LinkMbps
	// the bandwidth of its network link in Mbit/s. Stronger hosts are preferred as homes of services. Zero means not known.
	// Only hosts with Platform.Kind Native use them.
	Cores     float64
	CoreShare float64
	LinkMbps  float64
	// MemoryMB is the memory in units of 1,000,000 bytes from which on the platform ends the process; zero means that there is no
	// limit or that it is not known. Only hosts with Platform.Kind Native use it.
	MemoryMB float64
}

// MemoryLimit returns MemoryMB in bytes.
func (h Host) MemoryLimit() int64 { return int64(h.MemoryMB * 1e6) }

// PeerAddress returns the address that the host announces to other entry hosts.
func (h Host) PeerAddress() string {
	if h.Announced != "" {
		return h.Announced
	}
	return h.Inner
}

// Platform locates the platform's key-value store and its list of hosts.
type Platform struct {
	Store    string `required:"true"`
	HostList string
	Timeout  time.Duration
	// Kind is the protocol of the store: Etcd for a store with notes that this program publishes, Native for the metadata
	// store of the users' platform.
	Kind string `allowed:"Etcd|Native"`
}

// Retries is the retry budget of each service over all entry hosts. It limits extra attempts, which are retries and
// hedges. Only hosts with Platform.Kind Native use it; with Etcd, the configuration sets RetryRatio for each service.
type Retries struct {
	// Ratio is the maximum number of extra attempts per request within Window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of extra attempts within Window that are allowed beyond Ratio.
	Slack int
}

// Peers lists the entry hosts that this one contacts first to join the fleet.
type Peers struct {
	// Seeds are their inner addresses.
	Seeds []string
}

// Limits bounds the size and duration of callers' requests, and the memory and the store writes spent on them; sizes are
// in bytes. With Platform.Kind Native, the configuration in the store sets the limits on headers, bodies and idle
// connections instead, and requests have no Idempotency-Keys, grants or stored responses.
type Limits struct {
	HeaderBytes int
	// KeyedBodyBytes is the maximum size of the body of a request with an Idempotency-Key, and of a response that is stored
	// for its resends.
	KeyedBodyBytes int
	BodyBytes      int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	// StopTimeout is the maximum time that requests in flight get at a graceful stop, after callers have stopped using the
	// host. With Platform.Kind Native it limits the whole stop, which ends shortly before it, because the platform kills
	// the process then.
	StopTimeout time.Duration
	// AddressMaxAge is how long callers may cache the addresses of entry hosts.
	AddressMaxAge time.Duration
	// GrantWindow is how long after its issue a grant may be used for new requests. A grant is the part of an
	// Idempotency-Key that names the host which may run the request.
	GrantWindow time.Duration
	// KeptEntries and KeptBytes bound the number of idempotency records and the size of the responses stored in them.
	KeptEntries int
	KeptBytes   int
	// ClaimsPerSec is the maximum rate at which this host claims Idempotency-Keys without a grant in the store.
	ClaimsPerSec float64
	// HeldBytes bounds the memory that the bodies of requests take, and that which those of responses take. If Host.MemoryMB is known,
	// they take at most shares of it; zero means that only these hold, or 64 MiB if it is not known. Only hosts with Platform.Kind
	// Native use it.
	HeldBytes int
	// Descriptors is the number of descriptors that the process may have open, from which the number of callers' connections
	// follows; zero means the limit of the operating system.
	Descriptors int
	// MemoryBytes is the memory use above which the process collects garbage more often; zero means a share of Host.MemoryMB if that
	// is known, or else no limit. Only hosts with Platform.Kind Native use it.
	MemoryBytes int
}

// Budget bounds what this host spends on measuring the load and latency of targets.
type Budget struct {
	ProbesPerSec float64
	BytesPerSec  float64
	// CoreShare is the share of one processor core, from 0 to 1.
	CoreShare float64
}

// TLS names the PEM files for connections with callers and with other entry hosts (peers); empty means plain TCP.
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

// Targets sets how cold backend servers are used. Only hosts with Platform.Kind Native use it.
type Targets struct {
	// WarmUpOverage and WarmUpSlack bound what a cold target may get in one second: its WarmUpRate times WarmUpOverage, plus
	// WarmUpSlack requests.
	WarmUpOverage float64
	WarmUpSlack   float64
}

// Accounts sets how the keys and allowances of client accounts are enforced. Only hosts with Platform.Kind Native use it.
type Accounts struct {
	// WithdrawalLimit is the time after which a key that the configuration no longer holds must not be accepted; zero means no
	// limit. With StrictWithdrawal this binds a host also while it knows nothing of the store.
	WithdrawalLimit  time.Duration
	StrictWithdrawal bool
	// AllowanceWindow is the time in which the requests of an account are counted. They may exceed the allowance by the share
	// AllowanceOverage and by AllowanceSlack requests.
	AllowanceWindow  time.Duration
	AllowanceOverage float64
	AllowanceSlack   float64
}

// Overload sets what happens when a service has too little room. Only hosts with Platform.Kind Native use it.
type Overload struct {
	// AgeOrder makes order, refusals and times of return go by how long ago the caller first sent a request.
	AgeOrder bool
}

// Placement sets which targets are preferred. Only hosts with Platform.Kind Native use it.
type Placement struct {
	// DomainPlan makes each home plan how much traffic crosses between failure domains.
	DomainPlan bool
	// DomainPlanBytes is the mean size in bytes of the responses of a service from which its home places requests by that plan.
	DomainPlanBytes float64
}

// Unset is the value of a limit that is not set.
const Unset = -1

// SecondRuns limits second runs of repeatable requests that take longer than expected. Only hosts with Platform.Kind Native use it.
type SecondRuns struct {
	// Runs is the number of second runs in 100 requests of a service, and Work their share in 100 of the server time of its
	// requests. Zero means none. Unset means the default behavior, which only the retry budget limits.
	Runs float64
	Work float64
}

// Settings holds the sections of an entry host's settings file.
type Settings struct {
	Host       Host
	Platform   Platform
	Peers      Peers
	Limits     Limits
	Budget     Budget
	TLS        TLS
	Log        Log
	Retries    Retries
	Targets    Targets
	Accounts   Accounts
	Overload   Overload
	Placement  Placement
	SecondRuns SecondRuns
}

// Default returns settings with the default values of all optional keys.
func Default() Settings {
	return Settings{
		Host:     Host{Region: "default"},
		Platform: Platform{Timeout: 2 * time.Second, Kind: "Etcd"},
		Limits: Limits{
			HeaderBytes: 32 << 10, KeyedBodyBytes: 1 << 20, BodyBytes: 64 << 20,
			HeaderTimeout: 5 * time.Second, IdleTimeout: 90 * time.Second, StopTimeout: 20 * time.Second,
			AddressMaxAge: 2 * time.Second, GrantWindow: 30 * time.Second,
			KeptEntries: 100_000, KeptBytes: 16 << 20, ClaimsPerSec: 20,
		},
		Budget:     Budget{ProbesPerSec: 20, BytesPerSec: 10_000, CoreShare: 0.01},
		Log:        Log{Level: "info"},
		Retries:    Retries{Ratio: 0.2, Window: 10 * time.Second, Slack: 20},
		Targets:    Targets{WarmUpOverage: 1.5, WarmUpSlack: 8},
		Accounts:   Accounts{AllowanceWindow: 5 * time.Second, AllowanceOverage: 0.1, AllowanceSlack: 20},
		SecondRuns: SecondRuns{Runs: Unset, Work: Unset},
	}
}

// Load reads and checks a settings file; errors are ErrFile, document.ErrSyntax or document.ErrField.
func Load(file string) (Settings, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return Settings{}, ErrFile.New("cannot read the settings: %v; name a readable INI file", err)
	}
	return Parse(file, content)
}

// Parse parses and checks settings; file is the name used in errors, which are document.ErrSyntax or document.ErrField.
func Parse(file string, content []byte) (Settings, error) {
	s := Default()
	d, err := document.Parse(file, content)
	if err != nil {
		return s, err
	}
	sections := []struct {
		name   string
		target any
	}{
		{"Host", &s.Host}, {"Platform", &s.Platform}, {"Peers", &s.Peers}, {"Limits", &s.Limits},
		{"Budget", &s.Budget}, {"TLS", &s.TLS}, {"Log", &s.Log}, {"Retries", &s.Retries},
		{"Targets", &s.Targets}, {"Accounts", &s.Accounts}, {"Overload", &s.Overload}, {"Placement", &s.Placement}, {"SecondRuns", &s.SecondRuns},
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
			return d.FieldError(a.section, a.key, "has value \""+a.value+"\"; write an IP address and port such as 127.0.0.1:8080")
		}
	}
	for _, a := range []struct{ key, value string }{
		{"Announced", s.Host.Announced}, {"Ready", s.Host.Ready}, {"Directory", s.Host.Directory}, {"Metrics", s.Host.Metrics}} {
		if a.value != "" && !isAddress(a.value) {
			return d.FieldError("Host", a.key, "has value \""+a.value+"\"; write an IP address and port such as 127.0.0.1:8080")
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
		{"AddressMaxAge", s.Limits.AddressMaxAge >= time.Second},
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
	for section, share := range map[string]float64{"Host": s.Host.CoreShare, "Budget": s.Budget.CoreShare} {
		if share > 1 {
			return d.FieldError(section, "CoreShare", "must be between 0 and 1")
		}
	}
	for key, limit := range map[string]float64{"Runs": s.SecondRuns.Runs, "Work": s.SecondRuns.Work} {
		if limit > 100 {
			return d.FieldError("SecondRuns", key, "must be between 0 and 100")
		}
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
