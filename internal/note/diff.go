package note

import (
	"fmt"
	"slices"
	"strings"
)

// Diff returns the release note that leads from one configuration to another.
func Diff(old, next Configuration) Note {
	n := Note{Follows: old.Number, Operator: "platform", Reason: fmt.Sprintf("configuration %d of the platform", next.Number)}
	n.Services, n.Withdraw.Services = difference(old.Services, next.Services, serviceName)
	n.Targets, n.Withdraw.Targets = difference(old.Targets, next.Targets, targetName)
	n.Rules, n.Withdraw.Rules = difference(old.Rules, next.Rules, ruleName)
	return n
}

// difference returns the entries that are new or changed, and the names of those that are gone.
func difference[T any](old, next []T, name func(T) string) (changed []T, gone []string) {
	known := map[string]string{}
	for _, t := range old {
		known[name(t)] = hash(t)
	}
	for _, t := range next {
		if known[name(t)] != hash(t) {
			changed = append(changed, t)
		}
		delete(known, name(t))
	}
	for missing := range known {
		gone = append(gone, missing)
	}
	slices.Sort(gone)
	return changed, gone
}

// Summary names what a note adds or changes and what it withdraws, in one line.
func (n Note) Summary() string {
	var parts []string
	add := func(verb, kind string, names []string) {
		if len(names) > 0 {
			parts = append(parts, fmt.Sprintf("%s %s %s", verb, kind, strings.Join(names, " ")))
		}
	}
	add("set", "services", names(n.Services, serviceName))
	add("set", "targets", names(n.Targets, targetName))
	add("set", "rules", names(n.Rules, ruleName))
	add("withdrew", "services", n.Withdraw.Services)
	add("withdrew", "targets", n.Withdraw.Targets)
	add("withdrew", "rules", n.Withdraw.Rules)
	return strings.Join(parts, "; ")
}

func names[T any](list []T, name func(T) string) []string {
	var out []string
	for _, t := range list {
		out = append(out, name(t))
	}
	return out
}
