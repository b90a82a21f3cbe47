package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"briarcroft/internal/backend"
	"briarcroft/internal/placement"
)

// probeTimeout is how long a probe may take until its connection is given up.
const probeTimeout = 400 * time.Millisecond

// longestHealth bounds the bytes that are read of a health answer.
const longestHealth = 4 << 10

// probe asks one target for its health and load.
func (h *home) probe(ctx context.Context, p placement.Placed) {
	g := h.homes.gateway
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, load := g.askHealth(ctx, p, h.health)
	g.stats.probes.Add(1)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.home.Probed(g.now(), p.Target, health, load)
	h.sendProbes()
}

func (g *Gateway) askHealth(ctx context.Context, p placement.Placed, path string) (placement.Health, *placement.Load) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+path, nil)
	if err != nil {
		return placement.Gone, nil
	}
	response, err := g.pools.get(p.Target, p.Address).Do(r, backend.Options{})
	if err != nil {
		return placement.Gone, nil
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, longestHealth)); err != nil {
		return placement.Gone, nil
	}
	if name := response.Header.Get(g.dialect.InstanceHeader); name != "" && name != p.Target {
		return placement.Replaced, nil
	}
	load := g.load(response.Header)
	switch {
	case response.StatusCode == http.StatusOK, response.Header.Get(g.dialect.NotRunHeader) != "":
		return placement.Healthy, load
	default:
		return placement.Ill, load
	}
}

// load reads a target's own word on its load, or nil.
func (g *Gateway) load(header http.Header) *placement.Load {
	text := header.Get(g.dialect.LoadHeader)
	if text == "" {
		return nil
	}
	load, ok := g.dialect.ParseLoad(text)
	if !ok {
		return nil
	}
	return &load
}
