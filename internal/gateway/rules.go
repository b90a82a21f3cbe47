package gateway

import (
	"slices"
	"strings"
	"sync"

	"briarcroft/internal/account"
	"briarcroft/internal/note"
	"briarcroft/internal/uri"
)

// ruleIndex finds the rule of a request: by its host, then by the longest matching path prefix. It also holds the
// limits, the client accounts and the number of the configuration that the rules belong to.
type ruleIndex struct {
	byHost map[string][]note.Rule
	limits note.Limits
	number int
	// accounts finds client accounts by key; it is nil if requests need no key, and accountList is what it was made of.
	accounts    *account.Index
	accountList []note.Account
}

// newRuleIndex returns the index for a configuration. It takes over the index of the accounts from the previous one if they are the
// same, as hashing 10,000 keys takes milliseconds and each change of a target leads here.
func newRuleIndex(c note.Configuration, previous *ruleIndex) *ruleIndex {
	x := &ruleIndex{byHost: map[string][]note.Rule{}, number: c.Number, accountList: c.Accounts}
	if sameSlice(previous.accountList, c.Accounts) {
		x.accounts = previous.accounts
	} else {
		x.accounts = account.NewIndex(c)
	}
	if c.Limits != nil {
		x.limits = *c.Limits
	}
	for _, r := range c.Rules {
		host := uri.CanonicalHost(r.Host)
		r.Path = uri.CanonicalPath(r.Path)
		x.byHost[host] = append(x.byHost[host], r)
	}
	for _, rules := range x.byHost {
		slices.SortStableFunc(rules, func(a, b note.Rule) int { return len(b.Path) - len(a.Path) })
	}
	return x
}

// match returns the rule for a request with a host and a canonical path.
func (x *ruleIndex) match(host, path string) (note.Rule, bool) {
	for _, r := range x.byHost[uri.CanonicalHost(host)] {
		if strings.HasPrefix(path, r.Path) {
			return r, true
		}
	}
	return note.Rule{}, false
}

// trafficSplit divides the requests of rules that name several services, by smooth weighted round-robin.
type trafficSplit struct {
	mu sync.Mutex
	// credits holds the current credit of each service of a rule, by the rule's name.
	credits map[string][]float64
}

// choose returns the service for the next request of a rule. Each service's credit grows by its weight; the service
// with the most credit is chosen and loses the sum of all weights. Even a short sequence of requests is divided by
// weight in this way.
func (s *trafficSplit) choose(r note.Rule) string {
	if len(r.Shares) == 0 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credits == nil {
		s.credits = map[string][]float64{}
	}
	credit := s.credits[r.Name]
	if len(credit) != len(r.Shares) {
		credit = make([]float64, len(r.Shares))
		s.credits[r.Name] = credit
	}
	total, chosen := 0.0, 0
	for i, share := range r.Shares {
		credit[i] += float64(share.Weight)
		total += float64(share.Weight)
		if credit[i] > credit[chosen] {
			chosen = i
		}
	}
	credit[chosen] -= total
	return r.Shares[chosen].Service
}
