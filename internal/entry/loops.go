package entry

import (
	"context"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/record"
)

// Times of the duties.
const (
	timerInterval     = 5 * time.Millisecond
	idleTimerInterval = 100 * time.Millisecond
	hostListInterval  = 2 * time.Second
	noteInterval      = time.Second
)

func (h *Host) startLoops(workers *duty.Set) {
	workers.Start(h.heartbeatLoop)
	workers.Start(h.noteLoop)
	workers.Start(h.watchLoop)
	workers.Start(h.timerLoop)
	workers.Start(h.countsLoop)
	workers.Start(h.probeLoop)
	workers.Start(h.hostListLoop)
	workers.Start(h.demandLoop)
}

// timerLoop runs the timers of the services.
func (h *Host) timerLoop(ctx context.Context) {
	wait := timerInterval
	for duty.Sleep(ctx, wait) {
		wait = idleTimerInterval
		if h.dispatcher.Tick() {
			wait = timerInterval
		}
	}
}

// heartbeatLoop sends heartbeats.
func (h *Host) heartbeatLoop(ctx context.Context) {
	h.heartbeats.Run(ctx, h.heartbeatTrigger, h.heartbeatRound)
}

func (h *Host) heartbeatRound(ctx context.Context) {
	recipients := h.table.Beat(h.now())
	if h.table.TakePaused() {
		h.peersCompared.Store(false)
		h.storeReachable.Store(false)
		h.records.Add(record.Record{Kind: record.HostPaused, Cause: "HeartbeatLate", Note: h.chain.Number()})
		h.noteHints.Push(noteHint{})
	}
	h.recordMembership()
	h.heartbeats.Round(ctx, recipients)
}

func (h *Host) heartbeatRequest(update host.News) *inner.HeartbeatRequest {
	request := inner.Request(h.Name(), update)
	request.Quarantines = h.quarantinesToWire()
	return request
}

func (h *Host) handleHeartbeatReply(reply *inner.HeartbeatReply) {
	h.handlePeerState(reply.Sender, reply.Members, reply.Quarantines)
}

// handlePeerState takes in the rest of what a peer sent, and asks for its note when that is newer.
func (h *Host) handlePeerState(sender string, members []*inner.Member, quarantines []*inner.Quarantine) {
	h.quarantine.Take(h.now(), quarantinesFromWire(quarantines))
	h.peersCompared.Store(true)
	if m, newer := inner.Ahead(sender, members, h.chain.Number()); newer {
		h.noteHints.Push(noteHint{m.Inner, m.Note})
	}
	if h.chain.Number() > 0 && !h.table.Self().Ready {
		h.updateReady()
	}
}

// updateReady makes the host ready once it has a note and has read it from the store or compared it with a peer.
func (h *Host) updateReady() {
	ready := h.chain.Number() > 0 && (h.storeReachable.Load() || h.peersCompared.Load())
	if ready != h.table.Self().Ready {
		h.table.SetReady(ready)
	}
}

func (h *Host) recordMembership() {
	for _, e := range h.table.TakeEvents() {
		h.records.Add(record.OfMembership(e, h.chain.Number()))
	}
	h.recordHomeMoves()
}

// hostListLoop reads the platform's list of live and leaving hosts.
func (h *Host) hostListLoop(ctx context.Context) {
	if h.config.HostList == nil {
		return
	}
	leaving := map[string]bool{}
	for {
		if list, err := h.config.HostList.Read(ctx); err == nil {
			leaving = h.applyHostList(list, leaving)
		}
		if !duty.Sleep(ctx, hostListInterval) {
			return
		}
	}
}
