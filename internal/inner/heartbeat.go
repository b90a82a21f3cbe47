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
	heartbeatTimeout = host.HeartbeatInterval - 50*time.Millisecond
	// heartbeatSilence is how long one may go unanswered before it goes out again on a new connection.
	heartbeatSilence = heartbeatTimeout / 2
)

// Heartbeats exchanges what a host knows of the members with its peers.
type Heartbeats struct {
	Table  *host.MemberTable
	Client *Client
	// Now returns the time since the host's start.
	Now func() time.Duration
	// Request makes the message that tells news.
	Request func(host.Gossip) *HeartbeatRequest
	// Heard takes in a reply, whose members are in the table already; nil means that only members are exchanged.
	Heard func(*HeartbeatReply)
}

// Run sends rounds of heartbeats on time, or at once when kicked, until the context ends.
func (b *Heartbeats) Run(ctx context.Context, kick *ring.Queue[struct{}], round func(context.Context)) {
	for ctx.Err() == nil {
		round(ctx)
		wait, cancel := context.WithTimeout(ctx, b.Table.RoundInterval())
		kick.Pop(wait)
		cancel()
	}
}

// Round exchanges heartbeats with the peers at some inner addresses and returns when each has answered or failed.
func (b *Heartbeats) Round(ctx context.Context, addresses []string) {
	request := b.Request(b.Table.OutgoingGossip(b.Now()))
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() { b.exchange(ctx, address, request) })
	}
	group.Wait()
}

// exchange exchanges members with one peer, and sends in full what the peer could not place.
func (b *Heartbeats) exchange(ctx context.Context, address string, request *HeartbeatRequest) {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	send := func(ctx context.Context, peer DRPCPeerClient) (*HeartbeatReply, error) {
		return peer.Heartbeat(ctx, request)
	}
	reply, err := ask(ctx, b.Client, address, heartbeatSilence, send)
	if err != nil {
		b.Table.HeartbeatFailed(b.Now(), address)
		return
	}
	b.take(reply)
	if len(reply.Unknown) == 0 {
		return
	}
	request = b.Request(b.Table.FullGossip(FromIDs(reply.Unknown)))
	// Without an answer the next round asks again.
	if reply, err = ask(ctx, b.Client, address, heartbeatSilence, send); err == nil {
		b.take(reply)
	}
}

func (b *Heartbeats) take(reply *HeartbeatReply) {
	b.Table.Merge(b.Now(), reply.Sender, host.Gossip{Members: FromMembers(reply.Members), Digests: FromPulses(reply.Pulses)})
	if b.Heard != nil {
		b.Heard(reply)
	}
}

// Answer takes in a peer's heartbeat and returns what that peer does not know.
func Answer(table *host.MemberTable, now time.Duration, r *HeartbeatRequest) *HeartbeatReply {
	answer := table.HandleGossip(now, r.Sender, host.Gossip{Members: FromMembers(r.Members), Digests: FromPulses(r.Pulses)})
	return &HeartbeatReply{
		Sender: table.Self().Name, Members: ToMembers(answer.Members), Pulses: ToPulses(answer.Digests), Unknown: ToIDs(answer.Unknown),
	}
}

// Ahead returns the sender of a heartbeat or its reply when a note above the given one is in force there.
func Ahead(sender string, members []*Member, note int) (host.Member, bool) {
	for _, m := range members {
		if m.Name == sender && int(m.Note) > note {
			return FromMembers([]*Member{m})[0], true
		}
	}
	return host.Member{}, false
}

// Request makes the message of a heartbeat.
func Request(sender string, news host.Gossip) *HeartbeatRequest {
	return &HeartbeatRequest{Sender: sender, Members: ToMembers(news.Members), Pulses: ToPulses(news.Digests)}
}
