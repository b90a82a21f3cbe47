package inner

import (
	"context"
	"sync"
	"time"

	"briarcroft/internal/host"
	"briarcroft/internal/ring"
)

// Timeouts of a heartbeat.
const (
	// heartbeatTimeout limits the calls of one heartbeat to one peer; it is a little shorter than the time between two
	// rounds, so that rounds do not overlap.
	heartbeatTimeout = host.HeartbeatInterval - 50*time.Millisecond
	// firstHeartbeatTimeout limits the first attempt, before the retry on a new connection.
	firstHeartbeatTimeout = heartbeatTimeout / 2
)

// Heartbeats exchanges the member table of a host with those of its peers by gossip: each heartbeat and each reply
// carries the newest data that the sender has about the members.
type Heartbeats struct {
	Table  *host.MemberTable
	Client *Client
	// Now returns the time since this host's start.
	Now func() time.Duration
	// NewRequest returns the request that carries the given gossip.
	NewRequest func(host.Gossip) *HeartbeatRequest
	// OnReply is called with each reply after its members are merged into Table, to handle its other fields; may be nil.
	OnReply func(*HeartbeatReply)
}

// Run calls round whenever the next heartbeats are due, or at once when trigger gets an item, until the context ends.
func (h *Heartbeats) Run(ctx context.Context, trigger *ring.Queue[struct{}], round func(context.Context)) {
	for ctx.Err() == nil {
		round(ctx)
		wait, cancel := context.WithTimeout(ctx, h.Table.RoundInterval())
		trigger.Pop(wait)
		cancel()
	}
}

// Round exchanges heartbeats with the peers at the given inner addresses in parallel and returns when every peer has
// replied or failed.
func (h *Heartbeats) Round(ctx context.Context, addresses []string) {
	request := h.NewRequest(h.Table.OutgoingGossip(h.Now()))
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() { h.exchange(ctx, address, request) })
	}
	group.Wait()
}

// exchange sends a heartbeat to one peer and merges the reply. It then sends in full the members whose digests the peer
// did not know.
func (h *Heartbeats) exchange(ctx context.Context, address string, request *HeartbeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	send := func(ctx context.Context, peer DRPCPeerClient) (*HeartbeatReply, error) {
		return peer.Heartbeat(ctx, request)
	}
	reply, err := callWithRetry(ctx, h.Client, address, firstHeartbeatTimeout, send)
	if err != nil {
		h.Table.HeartbeatFailed(h.Now(), address)
		return
	}
	h.handleReply(reply)
	if len(reply.Unknown) == 0 {
		return
	}
	request = h.NewRequest(h.Table.FullGossip(DecodeMemberHashes(reply.Unknown)))
	// If this call fails, the peer names the unknown digests again in the next round.
	if reply, err = callWithRetry(ctx, h.Client, address, firstHeartbeatTimeout, send); err == nil {
		h.handleReply(reply)
	}
}

func (h *Heartbeats) handleReply(reply *HeartbeatReply) {
	h.Table.Merge(h.Now(), reply.Sender, host.Gossip{Members: DecodeMembers(reply.Members), Digests: DecodeDigests(reply.Pulses)})
	if h.OnReply != nil {
		h.OnReply(reply)
	}
}

// HandleHeartbeat merges a peer's heartbeat into the table and returns a reply with what the peer does not know yet.
func HandleHeartbeat(table *host.MemberTable, now time.Duration, r *HeartbeatRequest) *HeartbeatReply {
	gossip := table.HandleGossip(now, r.Sender, host.Gossip{Members: DecodeMembers(r.Members), Digests: DecodeDigests(r.Pulses)})
	return &HeartbeatReply{
		Sender: table.Self().Name, Members: EncodeMembers(gossip.Members), Pulses: EncodeDigests(gossip.Digests), Unknown: EncodeMemberHashes(gossip.Unknown),
	}
}

// SenderWithNewerNote returns the sender of a heartbeat or of its reply if the note (revision of the configuration) in
// force there is newer than the given one.
func SenderWithNewerNote(sender string, members []*Member, note int) (host.Member, bool) {
	for _, m := range members {
		if m.Name == sender && int(m.Note) > note {
			return DecodeMembers([]*Member{m})[0], true
		}
	}
	return host.Member{}, false
}

// NewHeartbeatRequest returns the request that carries the sender's gossip.
func NewHeartbeatRequest(sender string, gossip host.Gossip) *HeartbeatRequest {
	return &HeartbeatRequest{Sender: sender, Members: EncodeMembers(gossip.Members), Pulses: EncodeDigests(gossip.Digests)}
}
