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
	OnReply func(ReceivedReply)
	// SendTime returns the time of ReceivedReply.Sent; nil means that it is not needed.
	SendTime func() time.Duration
	// OnPanic is called with the value of a panic on the goroutine of one exchange, which fails. If it is nil, a panic ends the
	// process.
	OnPanic func(value any)
}

// ReceivedReply is a reply to a heartbeat of this host.
type ReceivedReply struct {
	*HeartbeatReply
	// Sent is a time before the heartbeat was sent, by Heartbeats.SendTime.
	Sent time.Duration
	// MembersKnown is set if this host now knows the state of all members that the reply names. Otherwise a second heartbeat asks
	// for it.
	MembersKnown bool
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
		group.Go(func() {
			if h.OnPanic != nil {
				defer func() {
					if value := recover(); value != nil {
						h.OnPanic(value)
					}
				}()
			}
			h.exchange(ctx, address, request)
		})
	}
	group.Wait()
}

// exchange sends a heartbeat to one peer and merges the reply. A second message follows if one of the two hosts named
// members that it does not know.
func (h *Heartbeats) exchange(ctx context.Context, address string, request *HeartbeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	send := func(ctx context.Context, peer DRPCPeerClient) (*HeartbeatReply, error) {
		return peer.Heartbeat(ctx, request)
	}
	sent := h.sendTime()
	reply, err := callWithRetry(ctx, h.Client, address, firstHeartbeatTimeout, send)
	if err != nil {
		h.Table.HeartbeatFailed(h.Now(), address)
		return
	}
	if request = h.handleReply(sent, reply); request == nil {
		return
	}
	// If this call fails, the members are named again in the next round.
	sent = h.sendTime()
	if reply, err = callWithRetry(ctx, h.Client, address, firstHeartbeatTimeout, send); err == nil {
		h.handleReply(sent, reply)
	}
}

func (h *Heartbeats) sendTime() time.Duration {
	if h.SendTime == nil {
		return 0
	}
	return h.SendTime()
}

// handleReply merges a reply to a heartbeat sent at the given time and returns the message that must follow it, or nil.
func (h *Heartbeats) handleReply(sent time.Duration, reply *HeartbeatReply) *HeartbeatRequest {
	unknown := h.Table.Merge(h.Now(), reply.Sender, host.Gossip{
		Members: DecodeMembers(reply.Members), Digests: DecodeDigests(reply.Pulses), Views: decodeViews(reply.Views), Ages: reply.Ages,
	})
	if h.OnReply != nil {
		h.OnReply(ReceivedReply{reply, sent, len(unknown) == 0})
	}
	if len(reply.Unknown) == 0 && len(unknown) == 0 {
		return nil
	}
	return h.NewRequest(h.Table.FullGossip(h.Now(), DecodeMemberHashes(reply.Unknown), unknown))
}

// HandleHeartbeat merges a peer's heartbeat into the table and returns a reply with what the peer does not know yet.
func HandleHeartbeat(table *host.MemberTable, now time.Duration, r *HeartbeatRequest) *HeartbeatReply {
	gossip := table.HandleGossip(now, r.Sender, host.Gossip{
		Members: DecodeMembers(r.Members), Digests: DecodeDigests(r.Pulses), Unknown: DecodeMemberHashes(r.Unknown),
		Views: decodeViews(r.Views), Ages: r.Ages,
	})
	return &HeartbeatReply{
		Sender: table.Self().Name, Members: EncodeMembers(gossip.Members), Pulses: EncodeDigests(gossip.Digests), Unknown: EncodeMemberHashes(gossip.Unknown),
		Views: encodeViews(gossip.Views), Ages: gossip.Ages,
	}
}

// NewHeartbeatRequest returns the request that carries the sender's gossip.
func NewHeartbeatRequest(sender string, gossip host.Gossip) *HeartbeatRequest {
	return &HeartbeatRequest{
		Sender: sender, Members: EncodeMembers(gossip.Members), Pulses: EncodeDigests(gossip.Digests), Unknown: EncodeMemberHashes(gossip.Unknown),
		Views: encodeViews(gossip.Views), Ages: gossip.Ages,
	}
}
