package gateway

import (
	"math"
	"net/http"
	"testing"
	"time"

	"briarcroft/internal/note"
	"briarcroft/internal/placement"
	"briarcroft/internal/ratelimit"
	"briarcroft/internal/roster"
	"briarcroft/internal/settings"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// newWarmUpGateway returns a gateway that knows no target yet, with a function that applies a view with one target of a service that limits
// cold targets.
func newWarmUpGateway(t *testing.T) (*Gateway, func(roster.Target)) {
	g, closeGateway := New(Config{Settings: settings.Default(), Logger: zerolog.Nop(), Dialect: Dialect{WarmUpHeader: "X-Warmup-Ms"}})
	t.Cleanup(closeGateway)
	c := note.Configuration{Number: 1, Services: []note.Service{{Name: "s", WarmUpTime: 3 * time.Second, WarmUpRate: 2.7}}}
	g.applyConfiguration(c)
	return g, func(target roster.Target) {
		v := &roster.View{Configuration: c, Targets: map[string][]roster.Target{"s": {target}}}
		g.applyRegistered(v)
		g.recordWarmUps(v, nil)
	}
}

// coldFor returns for how much longer the gateway takes a target for cold, rounded to a tenth of a second.
func (g *Gateway) coldFor(target string, incarnation int64) time.Duration {
	until := g.rateLimits.ColdUntil(ratelimit.Key{Target: target, Incarnation: incarnation})
	return max(0, until-g.now()).Round(100 * time.Millisecond)
}

// TestWarmUpOfEntries checks what entries of the store say of cold targets. It guards against targets that count as cold at every start of
// a host because their entries say how long they once were, and against entries that count anew whenever the view changes.
func TestWarmUpOfEntries(t *testing.T) {
	const left = 2 * time.Second
	long, lately := time.Now().Add(-time.Hour).UnixMilli(), time.Now().Add(-time.Second).UnixMilli()
	entry := func(born, sequence int64, left time.Duration, omitted bool) roster.Target {
		return roster.Target{Service: "s", Sequence: sequence, Target: placement.Target{Name: "t", Incarnation: born, WarmUpLeft: left, WarmUpOmitted: omitted}}
	}
	other := entry(long, 1, 0, false)
	for _, c := range []struct {
		name    string
		entries []roster.Target
		want    time.Duration
	}{
		{"found at the start, of a target that started lately", []roster.Target{entry(lately, 1, left, false)}, left},
		{"found at the start, of one that started long ago", []roster.Target{entry(long, 1, left, false)}, 0},
		{"found at the start, of one that does not say when it started", []roster.Target{entry(0, 1, left, false)}, left},
		{"found at the start, of one whose clock is ahead", []roster.Target{entry(time.Now().Add(time.Hour).UnixMilli(), 1, left, false)}, left},
		{"new", []roster.Target{other, entry(lately, 1, left, false)}, left},
		{"written again", []roster.Target{entry(long, 1, 0, false), entry(long, 2, left, false)}, left},
		{"not written again", []roster.Target{entry(long, 2, 0, false), entry(long, 2, left, false)}, 0},
		{"start of a target that does not say how long it stays cold", []roster.Target{other, entry(lately, 1, 0, true)}, 3 * time.Second},
		{"later entry of such a target", []roster.Target{entry(long, 1, 0, true), entry(long, 2, 0, true)}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			g, apply := newWarmUpGateway(t)
			for _, e := range c.entries {
				apply(e)
			}
			is.Equal(g.coldFor("t", c.entries[len(c.entries)-1].Incarnation), c.want)
		})
	}
}

// TestWarmUpOfHealthResponses checks what health responses say of a target that counts as cold for 2 s.
func TestWarmUpOfHealthResponses(t *testing.T) {
	for _, c := range []struct {
		value  string
		status int
		want   time.Duration
	}{
		{"", http.StatusOK, 0},
		{"0", http.StatusOK, 0},
		{"500", http.StatusOK, 500 * time.Millisecond},
		{" 700.4 ", http.StatusServiceUnavailable, 700 * time.Millisecond},
		{"", http.StatusServiceUnavailable, 2 * time.Second}, // says nothing
		{"soon", http.StatusOK, 2 * time.Second},
		{"-1", http.StatusOK, 2 * time.Second},
		{"NaN", http.StatusServiceUnavailable, 2 * time.Second},
		{"1e300", http.StatusOK, ratelimit.MaxWarmUp},
	} {
		t.Run(c.value, func(t *testing.T) {
			is := is.New(t)
			g, apply := newWarmUpGateway(t)
			apply(roster.Target{Service: "s", Target: placement.Target{Name: "t", WarmUpLeft: 2 * time.Second}})
			header := http.Header{}
			if c.value != "" {
				header.Set("X-Warmup-Ms", c.value)
			}
			g.readWarmUp("t", g.now(), &http.Response{StatusCode: c.status, Header: header})
			is.Equal(g.coldFor("t", 0), c.want)
			is.Equal(g.rateLimits.PerSecond(ratelimit.Key{Target: "t"}), math.Inf(1))
		})
	}
}
