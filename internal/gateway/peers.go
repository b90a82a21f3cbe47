package gateway

import (
	"context"
	"net"

	"briarcroft/internal/inner"
	"briarcroft/internal/placement"
	"briarcroft/internal/record"
)

// peerServer implements the RPCs that other entry hosts call.
type peerServer struct {
	// The methods that are not implemented here are called only between hosts of package entry.
	inner.DRPCPeerUnimplementedServer
	gateway *Gateway
}

// servePeers serves the RPCs of other hosts until the context ends.
func (g *Gateway) servePeers(ctx context.Context, l net.Listener) error {
	done, err := inner.Serve(ctx, inner.ServerConfig{
		Listener: countedListener{l, &g.connections.fromPeers}, Handler: &peerServer{gateway: g}, OnPanic: func(call string, value any) { g.recovered(call, value) },
	})
	if err != nil {
		return err
	}
	return <-done
}

// Heartbeat implements inner.DRPCPeerServer.
func (p *peerServer) Heartbeat(_ context.Context, r *inner.HeartbeatRequest) (*inner.HeartbeatReply, error) {
	g := p.gateway
	reply := inner.HandleHeartbeat(g.members, g.now(), r)
	g.handlePeerState(r.Sender, r)
	reply.Quarantines = inner.EncodeQuarantines(g.quarantine.All(g.now()))
	reply.RateLimits = g.sharedRateLimits()
	reply.Notices = inner.EncodeNotices(g.notices.Share(g.now()))
	reply.Knowledge = g.knowledge()
	g.addProof(reply.Knowledge)
	return reply, nil
}

// peerState is a heartbeat or its reply.
type peerState interface {
	GetQuarantines() []*inner.Quarantine
	GetRateLimits() []*inner.RateLimit
	GetNotices() []*inner.TargetNotice
	GetKnowledge() *inner.StoreKnowledge
}

// handlePeerState processes the parts of a heartbeat or its reply that the membership table does not handle, after it has
// handled the others.
func (g *Gateway) handlePeerState(sender string, state peerState) {
	g.quarantine.Merge(g.now(), inner.DecodeQuarantines(state.GetQuarantines()))
	g.rateLimits.Merge(g.now(), inner.DecodeRateLimits(state.GetRateLimits()))
	g.rateLimits.MergeWarmUps(g.now(), inner.DecodeWarmUps(state.GetRateLimits()))
	for _, news := range g.notices.Merge(g.now(), inner.DecodeNotices(state.GetNotices())) {
		g.recordNotice(news.Target, news.Notice, sender)
	}
	if m, found := g.members.Find(sender); found {
		g.learnKnowledge(m, state.GetKnowledge())
	}
	g.queueIfNewer(sender)
}

// Place implements inner.DRPCPeerServer: it places requests of the host at the other end of the stream.
func (p *peerServer) Place(stream inner.DRPCPeer_PlaceStream) error {
	homes := p.gateway.homeServer
	ctx, cancel := context.WithCancel(stream.Context())
	sess := homes.openSession(nil, cancel)
	defer homes.closeSession(sess)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer cancel()
		defer p.gateway.guard("Place")
		for {
			verdict, ok := sess.verdicts.Pop(ctx)
			if !ok || stream.Send(verdict) != nil {
				return
			}
		}
	}()
	err := p.handleCalls(ctx, stream, sess)
	cancel()
	<-done
	return err
}

// handleCalls handles the messages of a placement stream until it ends. The requesting host reports the end of a run
// without a service if it cannot deliver the verdict, for instance because the request has ended there in the meantime.
func (p *peerServer) handleCalls(ctx context.Context, stream inner.DRPCPeer_PlaceStream, sess *session) error {
	homes := p.gateway.homeServer
	for ctx.Err() == nil {
		call, err := stream.Recv()
		if err != nil {
			return err
		}
		id := placement.RequestID{Stream: sess.id, Number: call.Number}
		switch {
		case call.Ask != nil:
			homes.place(call.Service, inner.DecodePlaceAsk(p.gateway.now(), id, call.Ask))
		case call.End != nil && call.Service == "":
			homes.runEndedAnyService(inner.DecodeRunEnd(id, call.End))
		case call.End != nil:
			homes.runEnded(call.Service, inner.DecodeRunEnd(id, call.End))
		case call.Withdraw:
			homes.withdraw(call.Service, id)
		}
	}
	return ctx.Err()
}

// runHeartbeats is the background task that sends heartbeats.
func (g *Gateway) runHeartbeats(ctx context.Context) {
	g.heartbeats.Run(ctx, g.heartbeatTrigger, g.sendHeartbeats)
}

// sendHeartbeats sends one round of heartbeats and records what has changed since the last one.
func (g *Gateway) sendHeartbeats(ctx context.Context) {
	recipients := g.members.BeginRound(g.now())
	if g.members.ResetPaused() {
		g.records.Add(record.Record{Kind: record.HostPaused, Cause: "HeartbeatLate", Note: g.chain.Number()})
		g.updateReady()
	}
	g.recordMembershipChanges()
	g.heartbeats.Round(ctx, g.addStoredPeers(recipients))
}

// maxStoredPeers is the number of hosts in the store that a host tries in one round of heartbeats while it knows no peer.
const maxStoredPeers = 8

// addStoredPeers adds the addresses of up to maxStoredPeers random hosts that are registered in the store while no peer is known.
func (g *Gateway) addStoredPeers(recipients []string) []string {
	if !g.members.Alone() {
		return recipients
	}
	added := 0
	for _, address := range g.roster.View().PeerAddresses {
		if address != g.settings.Host.PeerAddress() && added < maxStoredPeers {
			recipients = append(recipients, address)
			added++
		}
	}
	return recipients
}

// recordMembershipChanges writes a change record for each change of the membership.
func (g *Gateway) recordMembershipChanges() {
	for _, e := range g.members.DrainEvents() {
		g.records.Add(record.FromMembershipEvent(e, g.chain.Number()))
	}
}

// isInOtherDomain reports whether the host with an inner address is in another failure domain. It is false for unknown hosts.
func (g *Gateway) isInOtherDomain(inner string) bool {
	for _, m := range g.members.Live(g.now()) {
		if m.Inner == inner {
			return m.Domain != g.settings.Host.Domain
		}
	}
	return false
}
