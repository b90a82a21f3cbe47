package note

import (
	"fmt"
	"slices"
	"strings"
)

// Diff returns the release note that leads from one configuration of the platform to another.
func Diff(old, next Configuration) Note {
	n := Note{Follows: old.Number, Operator: "platform", Reason: fmt.Sprintf("configuration %d of the platform", next.Number)}
	n.Services, n.Withdraw.Services = diffEntries(old.Services, next.Services, serviceName)
	n.Targets, n.Withdraw.Targets = diffEntries(old.Targets, next.Targets, targetName)
	n.Rules, n.Withdraw.Rules = diffEntries(old.Rules, next.Rules, ruleName)
	n.Accounts, n.Withdraw.Accounts = diffEntries(old.Accounts, next.Accounts, accountName)
	return n
}

// diffEntries returns the entries of next that are new or changed, and the sorted names of those that only old has.
func diffEntries[T any](old, next []T, name func(T) string) (changed []T, removed []string) {
	oldHashes := map[string]string{}
	for _, t := range old {
		oldHashes[name(t)] = hash(t)
	}
	for _, t := range next {
		if oldHashes[name(t)] != hash(t) {
			changed = append(changed, t)
		}
		delete(oldHashes, name(t))
	}
	for removedName := range oldHashes {
		removed = append(removed, removedName)
	}
	slices.Sort(removed)
	return changed, removed
}

// maxSummaryNames is the number of names of one kind that Summary lists.
const maxSummaryNames = 20

// Summary returns one line with the first names of the entries that the note sets and of those that it withdraws, and how
// many more there are.
func (n Note) Summary() string {
	var parts []string
	add := func(verb, kind string, names []string) {
		if len(names) == 0 {
			return
		}
		more := ""
		if len(names) > maxSummaryNames {
			more = fmt.Sprintf(" and %d more", len(names)-maxSummaryNames)
			names = names[:maxSummaryNames]
		}
		parts = append(parts, fmt.Sprintf("%s %s %s%s", verb, kind, strings.Join(names, " "), more))
	}
	add("set", "services", entryNames(n.Services, serviceName))
	add("set", "targets", entryNames(n.Targets, targetName))
	add("set", "rules", entryNames(n.Rules, ruleName))
	add("set", "accounts", entryNames(n.Accounts, accountName))
	add("withdrew", "services", n.Withdraw.Services)
	add("withdrew", "targets", n.Withdraw.Targets)
	add("withdrew", "rules", n.Withdraw.Rules)
	add("withdrew", "accounts", n.Withdraw.Accounts)
	return strings.Join(parts, "; ")
}

func entryNames[T any](entries []T, name func(T) string) []string {
	var result []string
	for _, t := range entries {
		result = append(result, name(t))
	}
	return result
}
