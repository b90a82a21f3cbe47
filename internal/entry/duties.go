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
	tickEvery     = 5 * time.Millisecond
	idleTickEvery = 100 * time.Millisecond
	hostListEvery = 2 * time.Second
	noteEvery     = time.Second
)

func (h *Host) startDuties(d *duty.Set) {
	d.Start(h.beatDuty)
	d.Start(h.noteDuty)
	d.Start(h.watchDuty)
	d.Start(h.tickDuty)
	d.Start(h.countsDuty)
	d.Start(h.probeDuty)
	d.Start(h.hostListDuty)
	d.Start(h.demandDuty)
}

// tickDuty runs the timers of the services.
func (h *Host) tickDuty(ctx context.Context) {
	wait := tickEvery
	for duty.Sleep(ctx, wait) {
		wait = idleTickEvery
		if h.steering.Tick() {
			wait = tickEvery
		}
	}
}

// beatDuty sends heartbeats.
func (h *Host) beatDuty(ctx context.Context) { h.beats.Run(ctx, h.kick, h.beat) }

func (h *Host) beat(ctx context.Context) {
	recipients := h.table.Beat(h.now())
	if h.table.TakePaused() {
		h.peersRead.Store(false)
		h.storeUp.Store(false)
		h.book.Add(record.Record{Kind: record.HostPaused, Cause: "HeartbeatLate", Note: h.chain.Number()})
		h.hints.Push(hint{})
	}
	h.explainMembership()
	h.beats.Round(ctx, recipients)
}

func (h *Host) heartbeatRequest(news host.News) *inner.HeartbeatRequest {
	request := inner.NewHeartbeatRequest(h.Name(), news)
	request.Quarantines = h.offenders()
	return request
}

func (h *Host) takeReply(reply *inner.HeartbeatReply) {
	h.heard(reply.Sender, reply.Members, reply.Quarantines)
}

// heard takes in the rest of what a peer sent, and asks for its note when that is newer.
func (h *Host) heard(sender string, members []*inner.Member, quarantines []*inner.Quarantine) {
	h.quarantine.Take(h.now(), fromWireOffenders(quarantines))
	h.peersRead.Store(true)
	if m, ahead := inner.SenderWithNewerNote(sender, members, h.chain.Number()); ahead {
		h.hints.Push(hint{m.Inner, m.Note})
	}
	if h.chain.Number() > 0 && !h.table.Self().Ready {
		h.refreshReady()
	}
}

// refreshReady makes the host ready once it has a note and has read it from the store or compared it with a peer.
func (h *Host) refreshReady() {
	ready := h.chain.Number() > 0 && (h.storeUp.Load() || h.peersRead.Load())
	if ready != h.table.Self().Ready {
		h.table.SetReady(ready)
	}
}

func (h *Host) explainMembership() {
	for _, e := range h.table.TakeEvents() {
		h.book.Add(record.FromMembershipEvent(e, h.chain.Number()))
	}
	h.explainHomes()
}

// hostListDuty reads the platform's list of live and leaving hosts.
func (h *Host) hostListDuty(ctx context.Context) {
	if h.config.HostList == nil {
		return
	}
	leaving := map[string]bool{}
	for {
		if list, err := h.config.HostList.Read(ctx); err == nil {
			leaving = h.takeHostList(list, leaving)
		}
		if !duty.Sleep(ctx, hostListEvery) {
			return
		}
	}
}
