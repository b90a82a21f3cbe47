package entry

import (
	"context"
	"sync"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/duty"
	"briarcroft/internal/inner"
	"briarcroft/internal/record"
)

// Sizes and times of handing a table over.
const (
	sealPartBytes = 1 << 20
	sealTimeout   = 3 * time.Second
	// answerMargin is added to the longest age of an address answer before the listener closes.
	answerMargin = time.Second
)

// stopGracefully takes the host out of the answers, finishes what is in flight and hands its knowledge over.
func (h *Host) stopGracefully(force context.Context) error {
	h.table.Leave()
	h.explain(record.HostLeft, "GracefulStop")
	h.kickBeat()
	// Callers keep an answer for its age; until then they still come here.
	duty.Sleep(force, h.settings.Limits.AddressMaxAge+answerMargin)
	idle := h.claims.Seal()
	h.explain(record.HostSealed, "GracefulStop")
	ctx, cancel := context.WithTimeout(force, h.settings.Limits.StopTimeout)
	defer cancel()
	err := h.front.Shutdown(ctx)
	select {
	case <-idle:
	case <-ctx.Done():
	}
	h.handOver(ctx)
	return err
}

// handOver copies the sealed table to peers that answer for it from now on.
func (h *Host) handOver(ctx context.Context) {
	parts := sealRequests(h.claims.Export(h.now()))
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, m := range h.holders(h.Name(), h.incarnation) {
		group.Go(func() {
			for _, part := range parts {
				if _, err := h.client.Peer(ctx, m.Inner).Seal(ctx, part); err != nil {
					h.config.Logger.Warn().Err(err).Str("Peer", m.Name).Msg("table was not handed over")
					return
				}
			}
		})
	}
	group.Wait()
}

// sealRequests cuts a table into parts of a bounded size; an empty table is one part.
func sealRequests(h claim.Handover) []*inner.SealRequest {
	var parts []*inner.SealRequest
	open := func() {
		parts = append(parts, &inner.SealRequest{
			Host: h.Host, Incarnation: h.Incarnation, RemainingMilliseconds: h.Retention.Milliseconds(),
			SealedAtMilliseconds: h.SealedAt.Milliseconds(), Part: uint32(len(parts)),
		})
	}
	open()
	size := 0
	for _, e := range h.Entries {
		if size > sealPartBytes {
			open()
			size = 0
		}
		size += len(e.Key) + len(e.Response.Body) + 256
		last := parts[len(parts)-1]
		last.Entries = append(last.Entries, &inner.SealedEntry{
			Key: e.Key, Outcome: string(e.Outcome), Kept: e.HasResponse, Fingerprint: e.Fingerprint,
			Status: int32(e.Response.Status), Headers: toWireFields(e.Response.Header), Body: e.Response.Body,
		})
	}
	for _, part := range parts {
		part.Parts = uint32(len(parts))
	}
	return parts
}

// sealParts collects the parts of tables that are being handed over.
type sealParts struct {
	mu     sync.Mutex
	tables map[sealID]*sealParted
}

type sealID struct {
	host        string
	incarnation uint64
}

type sealParted struct {
	seen    map[uint32]bool
	entries []claim.SealedEntry
}

// maxParted bounds the tables that are being received at a time.
const maxParted = 16

func newSealParts() *sealParts { return &sealParts{tables: map[sealID]*sealParted{}} }

// add takes a part and returns the whole table once all parts are there.
func (s *sealParts) add(r *inner.SealRequest) ([]claim.SealedEntry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := sealID{r.Host, r.Incarnation}
	t := s.tables[id]
	if t == nil {
		if len(s.tables) >= maxParted {
			clear(s.tables)
		}
		t = &sealParted{seen: map[uint32]bool{}}
		s.tables[id] = t
	}
	if !t.seen[r.Part] {
		t.seen[r.Part] = true
		t.entries = append(t.entries, fromWireEntries(r.Entries)...)
	}
	if uint32(len(t.seen)) < r.Parts {
		return nil, false
	}
	delete(s.tables, id)
	return t.entries, true
}

func fromWireEntries(entries []*inner.SealedEntry) []claim.SealedEntry {
	list := make([]claim.SealedEntry, 0, len(entries))
	for _, e := range entries {
		list = append(list, claim.SealedEntry{
			Key: e.Key, Fingerprint: e.Fingerprint, Outcome: claim.Outcome(e.Outcome), HasResponse: e.Kept,
			Response: claim.Response{Status: int(e.Status), Header: fromWireFields(e.Headers), Body: e.Body},
		})
	}
	return list
}
