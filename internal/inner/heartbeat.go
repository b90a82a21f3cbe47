package inner

import (
	"context"
	"sync"
	"time"

	"briarcroft/internal/host"
	"briarcroft/internal/ring"
)

// Times of a heartbeat.
const (
	// heartbeatTimeout is how long one may take in all, a little less than the time between two rounds.
	heartbeatTimeout = host.BeatEvery - 50*time.Millisecond
	// firstHeartbeatTimeout is how long one may go unanswered before it goes out again on a new connection.
	firstHeartbeatTimeout = heartbeatTimeout / 2
)

// Heartbeats exchanges what a host knows of the members with its peers.
type Heartbeats struct {
	Table  *host.Table
	Client *Client
	// Now returns the time since the host's start.
	Now func() time.Duration
	// NewRequest makes the message that tells news.
	NewRequest func(host.News) *HeartbeatRequest
	// OnReply takes in a reply, whose members are in the table already; nil means that only members are exchanged.
	OnReply func(*HeartbeatReply)
}

// Run sends rounds of heartbeats on time, or at once when kicked, until the context ends.
func (h *Heartbeats) Run(ctx context.Context, trigger *ring.Ring[struct{}], round func(context.Context)) {
	for ctx.Err() == nil {
		round(ctx)
		wait, cancel := context.WithTimeout(ctx, h.Table.NextBeat())
		trigger.Pop(wait)
		cancel()
	}
}

// Round exchanges heartbeats with the peers at some inner addresses and returns when each has answered or failed.
func (h *Heartbeats) Round(ctx context.Context, addresses []string) {
	request := h.NewRequest(h.Table.Outgoing(h.Now()))
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() { h.exchange(ctx, address, request) })
	}
	group.Wait()
}

// exchange exchanges members with one peer, and sends in full what the peer could not place.
func (h *Heartbeats) exchange(ctx context.Context, address string, request *HeartbeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	send := func(ctx context.Context, peer DRPCPeerClient) (*HeartbeatReply, error) {
		return peer.Heartbeat(ctx, request)
	}
	reply, err := callWithRetry(ctx, h.Client, address, firstHeartbeatTimeout, send)
	if err != nil {
		h.Table.Failed(h.Now(), address)
		return
	}
	h.handleReply(reply)
	if len(reply.Unknown) == 0 {
		return
	}
	request = h.NewRequest(h.Table.Full(DecodeMemberHashes(reply.Unknown)))
	// Without an answer the next round asks again.
	if reply, err = callWithRetry(ctx, h.Client, address, firstHeartbeatTimeout, send); err == nil {
		h.handleReply(reply)
	}
}

func (h *Heartbeats) handleReply(reply *HeartbeatReply) {
	h.Table.Merge(h.Now(), reply.Sender, host.News{Members: DecodeMembers(reply.Members), Pulses: DecodeDigests(reply.Pulses)})
	if h.OnReply != nil {
		h.OnReply(reply)
	}
}

// HandleHeartbeat takes in a peer's heartbeat and returns what that peer does not know.
func HandleHeartbeat(table *host.Table, now time.Duration, r *HeartbeatRequest) *HeartbeatReply {
	gossip := table.Answer(now, r.Sender, host.News{Members: DecodeMembers(r.Members), Pulses: DecodeDigests(r.Pulses)})
	return &HeartbeatReply{
		Sender: table.Self().Name, Members: EncodeMembers(gossip.Members), Pulses: EncodeDigests(gossip.Pulses), Unknown: EncodeMemberHashes(gossip.Unknown),
	}
}

// SenderWithNewerNote returns the sender of a heartbeat or its reply when a note above the given one is in force there.
func SenderWithNewerNote(sender string, members []*Member, note int) (host.Member, bool) {
	for _, m := range members {
		if m.Name == sender && int(m.Note) > note {
			return DecodeMembers([]*Member{m})[0], true
		}
	}
	return host.Member{}, false
}

// NewHeartbeatRequest makes the message of a heartbeat.
func NewHeartbeatRequest(sender string, gossip host.News) *HeartbeatRequest {
	return &HeartbeatRequest{Sender: sender, Members: EncodeMembers(gossip.Members), Pulses: EncodeDigests(gossip.Pulses)}
}
