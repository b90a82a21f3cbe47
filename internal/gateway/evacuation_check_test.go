package gateway

import (
	"context"
	"testing"

	"briarcroft/internal/inner"
	"briarcroft/internal/note"
	"briarcroft/internal/placement"
	"briarcroft/internal/platform"
	"briarcroft/internal/roster"
	"briarcroft/internal/settings"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"github.com/rs/zerolog"
)

// TestEvacuationIsCheckedBeforeSending guards against a home or a peer that does not know of an evacuation yet: neither what it has
// placed here nor what it asks to relay is sent, and that does not count against the target. Targets that this host does not know are
// refused only while a failure domain is evacuated.
func TestEvacuationIsCheckedBeforeSending(t *testing.T) {
	is := is.New(t)
	g, closeGateway := New(Config{Settings: settings.Default(), Logger: zerolog.Nop(), Dialect: Dialect{Decode: func(key string, _ []byte) (roster.DecodedEntry, error) {
		switch key {
		case "config":
			return roster.ConfigurationEntry{Configuration: note.Configuration{Number: 1, Services: []note.Service{{Name: "s"}}}}, nil
		case "evacuate":
			return roster.EvacuationEntry{Domain: "b"}, nil
		}
		return roster.TargetEntry{Target: roster.Target{Service: "s", Target: placement.Target{Name: key, Domain: key, Address: "127.0.0.1:1"}}}, nil
	}}})
	defer closeGateway()
	g.roster.Apply(0, []platform.Change{{Entry: platform.Entry{Key: "config", Revision: 1}}, {Entry: platform.Entry{Key: "a", Revision: 2}}, {Entry: platform.Entry{Key: "b", Revision: 3}}}, 3)
	is.True(!g.evacuated("a") && !g.evacuated("b") && !g.evacuated("unknown"))
	g.roster.Apply(0, []platform.Change{{Entry: platform.Entry{Key: "evacuate", Revision: 4}}}, 4)
	is.True(!g.evacuated("a") && g.evacuated("b") && g.evacuated("unknown"))

	x := &exchange{gateway: g, request: &request{method: "GET"}}
	_, err := x.send(context.Background(), nil, placement.Placed{Target: "b", Address: "127.0.0.1:1"})
	is.True(errorx.IsOfType(err, errEvacuated))
	is.Equal(x.outcomeOfError(context.Background(), err), placement.OutcomeBlocked)
	_, hangs, err := x.sendDirectly(context.Background(), placement.Placed{Target: "b", Address: "127.0.0.1:1"})
	is.True(errorx.IsOfType(err, errEvacuated) && !hangs)
	var replies []inner.RelayKind
	g.relayForPeer(context.Background(), &inner.RelayRequest{Target: "b", Address: "127.0.0.1:1", Method: "GET"}, func(r *inner.RelayReply) bool {
		replies = append(replies, r.Kind)
		return true
	})
	is.Equal(replies, []inner.RelayKind{inner.RelayKind_RelayNotSent})
	is.Equal(g.stats.relayedForPeers.Load(), int64(0))
}
