// Package quota keeps the allowances of client accounts over all entry hosts. One host, the holder, has a token bucket for each
// account. Hosts that place requests (homes of services) lease tokens from it in batches and spend one for each run of a request.
//
// A Holder is elected by a few hosts, the electors, for a short time that it must renew. A Wallet has the tokens that a host has
// leased. Neither does I/O or reads a clock: callers pass the time, which must go on while the host is suspended (CLOCK_BOOTTIME).
// docs/design/allowances.md proves the bound that the two keep together.
package quota

import (
	"math"
	"time"
)

const (
	// Lifetime is how long leased tokens may be spent, from the time at which the request for them was sent.
	Lifetime = 2 * time.Second
	// capacityShare and emergencyShare are the parts of what a Bound leaves beyond the allowance that go to the capacity of the
	// token buckets and to emergency tokens. The rest is for requests that were placed before a window and arrive in it.
	capacityShare  = 0.4
	emergencyShare = 0.3
)

// Limit is the allowance of an account over all hosts: requests per second, and how many more at once. A rate of zero means that
// there is no limit.
type Limit struct{ Rate, Burst float64 }

// Bound is what the requests of an account must stay within: (rate x window + burst) x (1 + overage) + slack in any window.
type Bound struct {
	Window         time.Duration
	Overage, Slack float64
}

// Requests returns the largest number of requests in any window.
func (b Bound) Requests(l Limit) float64 { return b.allowance(l)*(1+b.Overage) + b.Slack }

func (b Bound) allowance(l Limit) float64 { return l.Rate*b.Window.Seconds() + l.Burst }

// extra returns how much the bound exceeds the allowance of a window.
func (b Bound) extra(l Limit) float64 { return b.allowance(l)*b.Overage + b.Slack }

// capacity returns how many tokens of an account the holder's bucket and all leases hold together at most.
func (b Bound) capacity(l Limit) float64 { return max(1, l.Burst+capacityShare*b.extra(l)) }

// emergencyTokens returns how many emergency tokens of an account a host may spend in a window. Hosts differ in their position,
// which counts from 0 to hosts-1, so that all of them together may spend emergencyShare of the extra.
func (b Bound) emergencyTokens(l Limit, hosts, position int) int {
	total := int(math.Floor(emergencyShare * b.extra(l)))
	return (total + hosts - 1 - position) / max(1, hosts)
}
