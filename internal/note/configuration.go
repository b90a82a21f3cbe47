package note

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"briarcroft/internal/uri"

	"github.com/joomcode/errorx"
)

// ErrInvalid reports a note that cannot be applied to the configuration that it follows; the message names the entry and
// the remedy.
var ErrInvalid = namespace.NewType("invalid")

// Configuration is the result of applying all notes up to one number; every list is sorted by name.
type Configuration struct {
	Number   int
	Services []Service
	Targets  []Target
	Rules    []Rule
	// Accounts holds the client accounts; if there are none, requests need no key, unless KeysWithdrawn is set.
	Accounts []Account `json:",omitempty"`
	// KeysWithdrawn is set if all accounts have been taken away: requests need a key as before, and no key is valid.
	KeysWithdrawn bool `json:",omitempty"`
	// Limits holds the limits that a configuration of the users' platform sets. It is nil in configurations that are made
	// of operators' notes; the limits in each host's settings apply then.
	Limits *Limits `json:",omitempty"`
}

// Apply returns the configuration that the note leads to, or c itself and ErrInvalid if the note cannot be applied.
func (c Configuration) Apply(n Note) (Configuration, error) {
	next := Configuration{Number: c.Number + 1}
	var err error
	if next.Services, err = mergeEntries(c.Services, n.Services, n.Withdraw.Services, "Service", serviceName); err != nil {
		return c, err
	}
	if next.Targets, err = mergeEntries(c.Targets, n.Targets, n.Withdraw.Targets, "Target", targetName); err != nil {
		return c, err
	}
	if next.Rules, err = mergeEntries(c.Rules, n.Rules, n.Withdraw.Rules, "Rule", ruleName); err != nil {
		return c, err
	}
	if next.Accounts, err = mergeEntries(c.Accounts, n.Accounts, n.Withdraw.Accounts, "Account", accountName); err != nil {
		return c, err
	}
	next.KeysWithdrawn = len(next.Accounts) == 0 && c.KeysRequired()
	if isEmpty(n) {
		return c, ErrInvalid.New("the note changes nothing; add, change or withdraw something")
	}
	if err := next.validate(); err != nil {
		return c, err
	}
	return next, nil
}

// KeysRequired reports whether requests need a key, unless their rule is public.
func (c Configuration) KeysRequired() bool { return len(c.Accounts) > 0 || c.KeysWithdrawn }

func serviceName(s Service) string { return s.Name }
func targetName(t Target) string   { return t.Name }
func ruleName(r Rule) string       { return r.Name }

func isEmpty(n Note) bool {
	w := n.Withdraw
	return len(n.Services)+len(n.Targets)+len(n.Rules)+len(n.Accounts)+len(w.Services)+len(w.Targets)+len(w.Rules)+len(w.Accounts) == 0
}

// mergeEntries returns the old entries without the withdrawn ones and with the added ones, each of which replaces an old
// entry of the same name.
func mergeEntries[T any](old, added []T, withdrawn []string, kind string, name func(T) string) ([]T, error) {
	next := slices.Clone(old)
	for _, withdrawnName := range withdrawn {
		i := slices.IndexFunc(next, func(t T) bool { return name(t) == withdrawnName })
		if i < 0 {
			return nil, ErrInvalid.New("[Withdraw] names %s %q, which is not in the configuration; remove it from the list", kind, withdrawnName)
		}
		next = slices.Delete(next, i, i+1)
	}
	for _, t := range added {
		if slices.Contains(withdrawn, name(t)) {
			return nil, ErrInvalid.New("%s %q is both added and withdrawn; keep one of them", kind, name(t))
		}
		i := slices.IndexFunc(next, func(o T) bool { return name(o) == name(t) })
		if i < 0 {
			next = append(next, t)
			continue
		}
		next[i] = t
	}
	slices.SortFunc(next, func(a, b T) int { return strings.Compare(name(a), name(b)) })
	return next, nil
}

func (c Configuration) validate() error {
	addresses := map[string]string{}
	for _, t := range c.Targets {
		if _, found := c.Service(t.Service); !found {
			return ErrInvalid.New("Target %q names service %q, which is not in the configuration; add [Service %s] or withdraw the target",
				t.Name, t.Service, t.Service)
		}
		if other, found := addresses[t.Address]; found {
			return ErrInvalid.New("Target %q and Target %q share the address %s; give each its own", other, t.Name, t.Address)
		}
		addresses[t.Address] = t.Name
	}
	for _, r := range c.Rules {
		if _, found := c.Service(r.Service); !found {
			return ErrInvalid.New("Rule %q names service %q, which is not in the configuration; add [Service %s] or withdraw the rule",
				r.Name, r.Service, r.Service)
		}
	}
	return CheckAccounts(c.Accounts)
}

// Service returns the service with the given name.
func (c Configuration) Service(name string) (Service, bool) {
	i, found := slices.BinarySearchFunc(c.Services, name, func(s Service, n string) int { return strings.Compare(s.Name, n) })
	if !found {
		return Service{}, false
	}
	return c.Services[i], true
}

// ServiceTargets returns the targets of a service, sorted by name.
func (c Configuration) ServiceTargets(service string) []Target {
	var targets []Target
	for _, t := range c.Targets {
		if t.Service == service {
			targets = append(targets, t)
		}
	}
	return targets
}

// Match returns the most specific rule for a request. Rules with a host precede those without, then longer paths precede
// shorter ones, then rules with methods precede those without.
func (c Configuration) Match(host, path, method string) (Rule, bool) {
	host, path = uri.CanonicalHost(host), uri.CanonicalPath(path)
	var best Rule
	found := false
	for _, r := range c.Rules {
		if !r.matches(host, path, method) || found && !r.moreSpecific(best) {
			continue
		}
		best, found = r, true
	}
	return best, found
}

func (r Rule) matches(host, path, method string) bool {
	return (r.Host == "" || uri.CanonicalHost(r.Host) == host) && strings.HasPrefix(path, uri.CanonicalPath(r.Path)) &&
		(len(r.Methods) == 0 || slices.Contains(r.Methods, method))
}

func (r Rule) moreSpecific(other Rule) bool {
	if (r.Host != "") != (other.Host != "") {
		return r.Host != ""
	}
	if len(r.Path) != len(other.Path) {
		return len(r.Path) > len(other.Path)
	}
	return len(r.Methods) > 0 && len(other.Methods) == 0
}

// LongestDeadline returns the longest deadline of all rules, and at least the default deadline.
func (c Configuration) LongestDeadline() time.Duration {
	longest := defaultDeadline
	for _, r := range c.Rules {
		longest = max(longest, r.Deadline)
	}
	return longest
}

// Hash returns the hexadecimal SHA-256 of the JSON text of the configuration.
func (c Configuration) Hash() string { return hash(c) }

func hash(value any) string {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(errorx.Panic(errorx.Decorate(err, "a configuration or record cannot be marshaled to JSON")))
	}
	sum := sha256.Sum256(encoded)
	return hex.EncodeToString(sum[:])
}
