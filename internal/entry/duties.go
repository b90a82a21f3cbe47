package entry

import (
	"context"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/record"
)

// Intervals of the background loops.
const (
	// timerInterval is the period of the services' timers while any service has requests.
	timerInterval = 5 * time.Millisecond
	// idleTimerInterval is the period of those timers while no service has requests.
	idleTimerInterval = 100 * time.Millisecond
	// hostListInterval is how often the platform's host list is read.
	hostListInterval = 2 * time.Second
	// noteInterval is how often a watcher, and any host that is not ready, reads notes from the store.
	noteInterval = time.Second
)

func (h *Host) startLoops(tasks *duty.Group) {
	tasks.Go(h.heartbeatLoop)
	tasks.Go(h.noteLoop)
	tasks.Go(h.watchLoop)
	tasks.Go(h.timerLoop)
	tasks.Go(h.countsLoop)
	tasks.Go(h.probeLoop)
	tasks.Go(h.hostListLoop)
	tasks.Go(h.demandLoop)
}

// timerLoop runs the timers of the services, such as those of queues and ejections.
func (h *Host) timerLoop(ctx context.Context) {
	wait := timerInterval
	for duty.Sleep(ctx, wait) {
		wait = idleTimerInterval
		if h.dispatcher.Tick() {
			wait = timerInterval
		}
	}
}

// heartbeatLoop runs a round of heartbeats at each interval of the membership, and at once after triggerHeartbeat.
func (h *Host) heartbeatLoop(ctx context.Context) {
	h.heartbeats.Run(ctx, h.heartbeatTrigger, h.heartbeatRound)
}

// heartbeatRound exchanges heartbeats with some peers and records changes in the membership. If this host was paused
// since the last round, for example because its machine was suspended, its note and its membership table may be stale:
// it is then not ready until it has read the store again or compared its note with that of a peer.
func (h *Host) heartbeatRound(ctx context.Context) {
	recipients := h.membership.BeginRound(h.now())
	if h.membership.ResetPaused() {
		h.peersCompared.Store(false)
		h.storeReachable.Store(false)
		h.records.Add(record.Record{Kind: record.HostPaused, Cause: "HeartbeatLate", Note: h.chain.Number()})
		h.noteHints.Push(noteHint{})
	}
	h.recordMembership()
	h.heartbeats.Round(ctx, recipients)
}

func (h *Host) heartbeatRequest(update host.Gossip) *inner.HeartbeatRequest {
	request := inner.NewHeartbeatRequest(h.Name(), update)
	request.Quarantines = inner.EncodeQuarantines(h.quarantine.All(h.now()))
	return request
}

func (h *Host) handleHeartbeatReply(reply inner.ReceivedReply) {
	h.handlePeerState(reply.Sender, reply.Quarantines)
}

// handlePeerState processes the parts of a heartbeat or its reply that the membership table does not handle,
// after it has handled the others: it merges the peer's quarantines and queues the fetch of a note when the peer has a newer one.
func (h *Host) handlePeerState(sender string, quarantines []*inner.Quarantine) {
	h.quarantine.Merge(h.now(), inner.DecodeQuarantines(quarantines))
	h.peersCompared.Store(true)
	if m, newer := h.membership.FindWithNewerNote(sender, h.chain.Number()); newer {
		h.noteHints.Push(noteHint{m.Inner, m.Note})
	}
	if h.chain.Number() > 0 && !h.membership.Self().Ready {
		h.updateReady()
	}
}

// updateReady sets whether the host is ready to serve: it must have a note, and must have read it from the store or
// compared it with that of a peer.
func (h *Host) updateReady() {
	ready := h.chain.Number() > 0 && (h.storeReachable.Load() || h.peersCompared.Load())
	if ready != h.membership.Self().Ready {
		h.membership.SetReady(ready)
	}
}

// recordMembership adds records of the changes in the membership, and of the services whose home has changed because of
// them.
func (h *Host) recordMembership() {
	for _, e := range h.membership.DrainEvents() {
		h.records.Add(record.FromMembershipEvent(e, h.chain.Number()))
	}
	h.recordHomeMoves()
}

// hostListLoop reads the platform's list of live and leaving hosts periodically, if the platform has one.
func (h *Host) hostListLoop(ctx context.Context) {
	if h.config.HostList == nil {
		return
	}
	leaving := map[string]bool{}
	for {
		if hosts, err := h.config.HostList.Read(ctx); err == nil {
			leaving = h.applyHostList(hosts, leaving)
		}
		if !duty.Sleep(ctx, hostListInterval) {
			return
		}
	}
}
