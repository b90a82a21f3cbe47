package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/note"
	"briarcroft/internal/page"
	"briarcroft/internal/placement"
	"briarcroft/internal/quota"
	"briarcroft/internal/ring"

	"github.com/cespare/xxhash/v2"
)

const (
	// allowanceService is the reserved name in whose ranking of homes the first hosts elect the holder of the token buckets.
	allowanceService = "accounts"
	// electors is the number of hosts that elect the holder, if possible in different failure domains.
	electors = 3
	// electionInterval is the time between two votes that a host asks for, and idleElectionInterval that between two checks of a
	// host that is no elector whether it is one now.
	electionInterval     = 100 * time.Millisecond
	idleElectionInterval = 300 * time.Millisecond
	// voteTimeout is how long an elector's answer is waited for.
	voteTimeout = 150 * time.Millisecond
	// youngFleetSpan is the largest difference between the starts of hosts that have started together.
	youngFleetSpan = 10 * time.Second
	// maxReportedAccounts is the number of accounts in the metrics.
	maxReportedAccounts = 20
)

// allowances is this host's part in keeping the allowances of client accounts.
type allowances struct {
	holder *quota.Holder
	wallet *quota.Wallet
	// bootTime is the clock of both.
	bootTime func() time.Duration
	// limited is set while the configuration has accounts with an allowance. Nothing is sent otherwise.
	limited atomic.Bool
	// number is that of the configuration whose allowances are in force. Only setAccounts uses it.
	number int
	// begun is set between the first configuration with an allowance, if there was one without before, and the first call of
	// Holder.SetElectors.
	begun atomic.Bool
	// wake wakes the tasks when limited is set, and tokenWanted the one that asks for tokens when a request waits for one.
	wakeElection, tokenWanted *ring.Queue[struct{}]
	// refused counts the requests that were refused because an allowance was spent.
	refused atomic.Int64
}

func newAllowances(c Config, incarnation uint64) *allowances {
	a := &allowances{bootTime: c.BootTime, wakeElection: ring.NewQueue[struct{}](ring.Config{Capacity: 1}), tokenWanted: ring.NewQueue[struct{}](ring.Config{Capacity: 1})}
	s := c.Settings.Accounts
	bound := quota.Bound{Window: s.AllowanceWindow, Overage: s.AllowanceOverage, Slack: s.AllowanceSlack}
	a.holder = quota.NewHolder(quota.HolderConfig{Self: c.Settings.Host.Name, Incarnation: incarnation, Bound: bound})
	a.wallet = quota.NewWallet(quota.WalletConfig{Host: c.Settings.Host.Name, Incarnation: incarnation, Bound: bound, Start: a.bootTime()})
	return a
}

// setAccounts puts the allowances of a configuration in force. Calls must not be concurrent.
func (a *allowances) setAccounts(c note.Configuration) {
	if c.Number == a.number {
		return
	}
	begins := a.number != 0 && !a.limited.Load()
	a.number = c.Number
	limits := map[string]quota.Limit{}
	for _, account := range c.Accounts {
		if account.Rate > 0 {
			limits[account.Name] = quota.Limit{Rate: account.Rate, Burst: account.Burst}
		}
	}
	a.holder.SetLimits(limits)
	a.wallet.SetLimits(limits)
	if begins && len(limits) > 0 {
		until := a.bootTime() + quota.FirstElection
		a.wallet.AllowUntil(until)
		a.holder.FillUntil(until)
		a.begun.Store(true)
	}
	a.limited.Store(len(limits) > 0)
	a.wakeElection.Push(struct{}{})
	a.tokenWanted.Push(struct{}{})
}

// electorsOf returns the electors among the ranked hosts: the first one of each failure domain as long as there are others, in
// their order.
func electorsOf(ranked []host.Member) []host.Member {
	var selected []host.Member
	for _, newDomain := range []bool{true, false} {
		for _, m := range ranked {
			if len(selected) < electors && fits(selected, m, newDomain) {
				selected = append(selected, m)
			}
		}
	}
	return selected
}

// fits reports whether a member is not among the selected ones, and if newDomain is set, its failure domain is not either.
func fits(selected []host.Member, m host.Member, newDomain bool) bool {
	for _, other := range selected {
		if other.Name == m.Name || newDomain && other.Domain == m.Domain {
			return false
		}
	}
	return true
}

// updateElectors tells the holder who the electors are, and returns them.
func (g *Gateway) updateElectors() []host.Member {
	ranked := g.homeClient.rankedHomes(allowanceService)
	selected := electorsOf(ranked)
	a := g.allowances
	// A fleet whose first allowances come into force has no holder yet, like one that has just started.
	young := a.begun.Swap(false) || g.youngFleet(ranked)
	a.holder.SetElectors(a.bootTime(), memberNames(selected), 2*len(ranked) > g.fleetSize(), young)
	return selected
}

// youngFleet reports whether all hosts started at about the same time as this one, by the times in their incarnations.
func (g *Gateway) youngFleet(live []host.Member) bool {
	started := func(incarnation uint64) time.Duration { return time.Duration(incarnation>>16) * time.Millisecond }
	for _, m := range live {
		if (started(m.Incarnation) - started(g.incarnation)).Abs() > youngFleetSpan {
			return false
		}
	}
	return true
}

func memberNames(members []host.Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	return names
}

// runElection is the background task that takes part in the election of the holder.
func (g *Gateway) runElection(ctx context.Context) {
	a := g.allowances
	for ctx.Err() == nil {
		if !a.limited.Load() {
			a.wakeElection.Pop(ctx)
			continue
		}
		selected := g.updateElectors()
		interval := idleElectionInterval
		for _, m := range selected {
			if m.Name == g.settings.Host.Name {
				interval = electionInterval
				g.askForVotes(ctx, selected)
			}
		}
		duty.Sleep(ctx, interval)
	}
}

// askForVotes asks the other electors for their votes if this host may be the holder.
func (g *Gateway) askForVotes(ctx context.Context, selected []host.Member) {
	a := g.allowances
	asked := a.bootTime()
	if _, ok := a.holder.Stand(asked); !ok {
		return
	}
	var calls sync.WaitGroup
	for _, m := range selected {
		if m.Name == g.settings.Host.Name {
			continue
		}
		calls.Go(func() {
			defer g.guard("Election")
			reply, err := g.callQuota(ctx, m, voteTimeout, inner.EncodeVoteRequest(g.settings.Host.Name, g.incarnation))
			if err == nil && inner.IsVote(reply) {
				a.holder.RecordVote(a.bootTime(), asked, m.Name)
			}
		})
	}
	calls.Wait()
	a.holder.EndRound(a.bootTime())
}

func (g *Gateway) callQuota(ctx context.Context, m host.Member, timeout time.Duration, r *inner.QuotaRequest) (*inner.QuotaReply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return g.client.Peer(ctx, m.Inner).Quota(ctx, r)
}

// Quota implements inner.DRPCPeerServer: it answers homes that ask for tokens, and candidates that ask for a vote.
func (p *peerServer) Quota(_ context.Context, r *inner.QuotaRequest) (*inner.QuotaReply, error) {
	a := p.gateway.allowances
	if inner.IsVoteRequest(r) {
		return inner.EncodeVote(a.limited.Load() && a.holder.Vote(a.bootTime(), r.Sender, r.Incarnation)), nil
	}
	reply, holding := a.holder.Serve(a.bootTime(), inner.DecodeQuotaRequest(r))
	return inner.EncodeQuotaReply(reply, holding), nil
}

// runTokenRequests is the background task that asks the holder for tokens while this host is a home of services whose requests
// need some.
func (g *Gateway) runTokenRequests(ctx context.Context) {
	a := g.allowances
	for ctx.Err() == nil {
		wait, due := a.wallet.Due(a.bootTime())
		switch {
		case !a.limited.Load() || !due:
			a.tokenWanted.Pop(ctx)
		case wait > 0:
			waitCtx, cancel := context.WithTimeout(ctx, min(wait, quota.RequestInterval))
			a.tokenWanted.Pop(waitCtx)
			cancel()
		default:
			g.requestTokens(ctx)
			g.dispatchWaiting()
		}
	}
}

// requestTokens sends one request to the host that is probably the holder. If it turns out not to be, the next request goes to
// another elector.
func (g *Gateway) requestTokens(ctx context.Context) {
	a := g.allowances
	selected := electorsOf(g.homeClient.rankedHomes(allowanceService))
	names := memberNames(selected)
	if len(names) == 0 {
		duty.Sleep(ctx, quota.RequestInterval)
		return
	}
	sent := a.bootTime()
	to := a.wallet.Asked(sent, names)
	request := a.wallet.NextRequest(sent)
	if len(request.Demands) == 0 {
		return
	}
	reply, holding := quota.Reply{}, false
	if to == g.settings.Host.Name {
		reply, holding = a.holder.Serve(sent, request)
	} else {
		for _, m := range selected {
			if m.Name != to {
				continue
			}
			wire, err := g.callQuota(ctx, m, quota.CallTimeout, inner.EncodeQuotaRequest(request))
			if err != nil {
				a.wallet.Failed(a.bootTime(), to)
				return
			}
			reply, holding = inner.DecodeQuotaReply(wire)
		}
	}
	if !holding {
		a.wallet.TakeBack()
		a.wallet.NotHolder(names)
		return
	}
	a.wallet.Apply(a.bootTime(), sent, reply)
}

// dispatchWaiting places requests that have waited for tokens.
func (g *Gateway) dispatchWaiting() {
	for _, h := range g.homeServer.serviceHomes() {
		h.use(func(home *placement.Home) {
			if home.AwaitsTokens() {
				home.Dispatch(g.now())
			}
		})
	}
}

// emergencyPlace returns the number of hosts of the fleet, dead or alive, and this host's position among them for an account, in an
// order that differs by account.
func (g *Gateway) emergencyPlace(account string) (hosts, position int) {
	keys := map[string]bool{}
	for key := range g.roster.View().PeerAddresses {
		keys[key] = true
	}
	for _, m := range g.members.Peers() {
		keys[g.dialect.PeerKey(m.Name)] = true
	}
	self := g.dialect.PeerKey(g.settings.Host.Name)
	keys[self] = true
	hosts = max(len(keys), g.fleetSize())
	if len(keys) < hosts {
		// The names of some hosts are not known, so that this one takes the last position.
		return hosts, hosts - 1
	}
	score := func(key string) uint64 { return xxhash.Sum64String(account + "\x00" + key) }
	own := score(self)
	for key := range keys {
		if s := score(key); s > own || s == own && key < self {
			position++
		}
	}
	return hosts, position
}

// allowanceStatus is what the status page and the metrics show of allowances.
type allowanceStatus struct {
	quota.HolderStats
	// HolderLost is set while requests of this host for tokens are not answered.
	HolderLost bool
	// Refused counts the requests of callers of this host that were refused because an allowance was spent.
	Refused int64
	// ByAccount holds the counters of the accounts with the most refusals by this host as a home.
	ByAccount []quota.Counts
}

// serveAllowance serves the counters of one account.
func (g *Gateway) serveAllowance(w http.ResponseWriter, r *http.Request) {
	page.WriteJSON(w, http.StatusOK, g.allowances.wallet.Account(r.URL.Query().Get("Account")))
}

// allowanceStatus returns nil without accounts that have an allowance.
func (g *Gateway) allowanceStatus() *allowanceStatus {
	a := g.allowances
	if !a.limited.Load() {
		return nil
	}
	now := a.bootTime()
	return &allowanceStatus{a.holder.Stats(now), a.wallet.Lost(now), a.refused.Load(), a.wallet.Refusals(maxReportedAccounts)}
}
