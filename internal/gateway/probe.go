package gateway

import (
	"context"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"briarcroft/internal/backend"
	"briarcroft/internal/placement"
	"briarcroft/internal/roster"

	"github.com/joomcode/errorx"
)

// probeTimeout is how long a health probe may take before its connection is closed.
const probeTimeout = 400 * time.Millisecond

// maxHealthBytes bounds the bytes that are read of a health response or of a refusal. Their connections can be reused
// only if they were read to the end.
const maxHealthBytes = 4 << 10

// probeLimitShare is the share of Budget.ProbesPerSec that is given to requests. The rest covers what hosts save up and,
// after a restart, get once more.
const probeLimitShare = 0.9

// takeProbes returns the number of health probes that a request of the service brings to one of its homes.
func (c *homeClient) takeProbes(service, home string) int {
	g := c.gateway
	wanted := placement.ProbesPerFallbackRequest
	if ranked := c.rankedHomes(service); len(ranked) > 0 && ranked[0].Name == home {
		wanted = placement.ProbesPerRequest
	}
	targets, hosts := probedTargets(g.roster.View(), service), g.fleetSize()
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.allowances[service]
	if a == nil {
		a = &placement.ProbeAllowance{PerTarget: probeLimitShare * g.settings.Budget.ProbesPerSec}
		c.allowances[service] = a
	}
	return a.Take(g.now(), targets, hosts, wanted)
}

// probedTargets returns the number of targets of a service that get probes; those that are evacuated get none.
func probedTargets(v *roster.View, service string) int {
	targets, count := v.Targets[service], 0
	if len(v.Evacuated) == 0 {
		return len(targets)
	}
	for i := range targets {
		if !targets[i].Evacuated {
			count++
		}
	}
	return count
}

// fleetSize returns the number of hosts that may be running. A host that has just started and reaches no other one may know
// from the store that there are others.
func (g *Gateway) fleetSize() int {
	return max(1, g.members.FleetSize(), len(g.roster.View().PeerAddresses))
}

// probe requests a target's health path and passes the result and the reported load to the placement state.
func (h *serviceHome) probe(ctx context.Context, p placement.Placed, healthPath string) {
	g := h.server.gateway
	if g.evacuated(p.Target) {
		h.use(func(home *placement.Home) { home.RecordProbe(g.now(), p.Target, placement.ProbeNotSent, nil) })
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, load, err := g.checkHealth(ctx, p, healthPath)
	switch {
	case err == nil:
		g.recordInReach(p.Target)
	case errorx.IsOfType(err, backend.ErrNoDescriptor):
		health = placement.ProbeNotSent
	case errorx.IsOfType(err, backend.ErrNotSent):
		g.recordOutOfReach(p.Target)
	default:
		// The target may be busy, or the link silent.
		g.startReachCheck(p.Target)
	}
	h.use(func(home *placement.Home) {
		home.RecordProbe(g.now(), p.Target, health, load)
		h.sendProbes()
	})
}

// checkHealth sends one health request. A target that refuses it without running it is healthy but busy. Errors are those of
// backend.Pool.Do, and mean that the target does not respond.
func (g *Gateway) checkHealth(ctx context.Context, p placement.Placed, path string) (placement.ProbeResult, *placement.LoadReport, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+path, nil)
	if err != nil {
		return placement.ProbeNoResponse, nil, backend.ErrPoolExhausted.New("the health path %q of target %s is invalid: %v; correct the configuration", path, p.Target, err)
	}
	key, registered := g.noticeKey(p.Target)
	sent := g.now()
	response, err := g.pools.probes(p.Target, p.Address).Do(r, backend.Options{})
	if err != nil {
		g.recordUnusable(p, err)
		return placement.ProbeNoResponse, nil, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBytes)); err != nil {
		return placement.ProbeNoResponse, nil, backend.ErrConnectionBroke.New("target %s broke off its health response: %v", p.Target, err)
	}
	if name := response.Header.Get(g.dialect.InstanceHeader); name != "" && name != p.Target {
		return placement.ProbeOtherServer, nil, nil
	}
	if registered {
		g.readNotice(key, response.StatusCode, response.Header)
	}
	g.readWarmUp(p.Target, sent, response)
	load := g.parseLoad(response.Header)
	g.pools.recordLoad(p.Target, p.Address, load)
	switch {
	case response.StatusCode == http.StatusOK, response.Header.Get(g.dialect.NotRunHeader) != "":
		return placement.ProbeHealthy, load, nil
	default:
		return placement.ProbeUnhealthy, load, nil
	}
}

// parseLoad returns the load that a target reports in its response header, or nil.
func (g *Gateway) parseLoad(header http.Header) *placement.LoadReport {
	value := header.Get(g.dialect.LoadHeader)
	if value == "" {
		return nil
	}
	load, ok := g.dialect.ParseLoad(value)
	if !ok {
		return nil
	}
	return &load
}

// parseRateLimit returns the rate limit that a response names, in requests per second, or an infinite one if the target
// itself made the response and names none. It returns nil for a malformed value and for a response that may not be the
// target's.
func (g *Gateway) parseRateLimit(header http.Header) *float64 {
	value := header.Get(g.dialect.RateLimitHeader)
	if value == "" {
		if header.Get(g.dialect.SealHeader) == "" && header.Get(g.dialect.NotRunHeader) == "" {
			return nil
		}
		unlimited := math.Inf(1)
		return &unlimited
	}
	limit, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(limit) || limit < 0 {
		return nil
	}
	return &limit
}
