package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/drain"
	"briarcroft/internal/duty"
	"briarcroft/internal/inner"
	"briarcroft/internal/record"
	"briarcroft/internal/socket"
	"briarcroft/internal/steering"
)

// Limits of a graceful stop.
const (
	// sealPartBytes is the size above which a new message begins when a table is copied to a peer.
	sealPartBytes = 1 << 20
	// sealTimeout bounds the copying of the table to all peers.
	sealTimeout = 3 * time.Second
	// acceptTime is how long connections that callers have opened may wait to be accepted before the listener is closed.
	acceptTime = 500 * time.Millisecond
	// addressAgeMargin is how long the host keeps accepting requests after the last cached address response that names it
	// has expired.
	addressAgeMargin = time.Second
)

// stopGracefully removes the host from address responses, waits until callers have stopped using it, finishes the requests
// in flight and copies its idempotency table to peers. Sealing the table ends the right of this incarnation to run keyed
// requests, so that its copies are final. Requests that wait for a target are refused before the time limit, and those that are
// still running are canceled, early enough for their callers to get the response.
func (h *Host) stopGracefully(force context.Context) error {
	// Callers cache address responses for AddressMaxAge and keep connecting to this host until then.
	drainTime := h.settings.Limits.AddressMaxAge + addressAgeMargin
	s := drain.NewSchedule(drain.Config{Now: h.now(), DrainTime: drainTime, Limit: drainTime + h.settings.Limits.StopTimeout})
	h.stop.Begin(s)
	h.membership.Leave()
	h.addRecord(record.HostLeft, "GracefulStop")
	h.triggerHeartbeat()
	duty.Sleep(force, s.Drained-h.now())
	drained := h.idempotency.Seal()
	h.addRecord(record.HostSealed, "GracefulStop")
	ctx, cancel := context.WithTimeout(force, s.Ended-h.now())
	defer cancel()
	defer time.AfterFunc(s.LastRun-h.now(), h.stop.EndRuns).Stop()
	defer time.AfterFunc(s.Cut-h.now(), h.cancelRequests).Stop()
	socket.AwaitAccepted(ctx, h.callerListener, acceptTime)
	err := h.callerServer.Shutdown(ctx)
	select {
	case <-drained:
	case <-ctx.Done():
	}
	h.replicateTable(ctx)
	return err
}

// hostStopped returns the refusal of a request whose run was canceled at the end of a graceful stop.
func hostStopped() *steering.Refusal {
	return &steering.Refusal{Status: http.StatusGatewayTimeout, Outcome: claim.Unknown, Reason: "HostStopped"}
}

// replicateTable copies the sealed idempotency table to peers, which answer resends of its keys from then on.
func (h *Host) replicateTable(ctx context.Context) {
	parts := sealRequests(h.idempotency.Export(h.now()))
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, m := range h.sealedTableHolders(h.Name(), h.incarnation) {
		group.Go(func() {
			for _, part := range parts {
				if _, err := h.client.Peer(ctx, m.Inner).Seal(ctx, part); err != nil {
					h.config.Logger.Warn().Err(err).Str("Peer", m.Name).Msg("sealed idempotency table was not copied to peer")
					return
				}
			}
		})
	}
	group.Wait()
}

// sealRequests splits a table into messages of limited size; an empty table makes one message.
func sealRequests(table claim.ExportedTable) []*inner.SealRequest {
	var parts []*inner.SealRequest
	startPart := func() {
		parts = append(parts, &inner.SealRequest{
			Host: table.Host, Incarnation: table.Incarnation, RemainingMilliseconds: table.Retention.Milliseconds(),
			SealedAtMilliseconds: table.SealedAt.Milliseconds(), Part: uint32(len(parts)),
		})
	}
	startPart()
	size := 0
	for _, e := range table.Entries {
		if size > sealPartBytes {
			startPart()
			size = 0
		}
		size += len(e.Key) + len(e.Response.Body) + 256
		last := parts[len(parts)-1]
		last.Entries = append(last.Entries, &inner.SealedEntry{
			Key: e.Key, Outcome: string(e.Outcome), Kept: e.HasResponse, Fingerprint: e.Fingerprint,
			Status: int32(e.Response.Status), Headers: fieldsToWire(e.Response.Header), Body: e.Response.Body,
		})
	}
	for _, part := range parts {
		part.Parts = uint32(len(parts))
	}
	return parts
}

// tableAssembler joins the parts in which peers send their sealed idempotency tables. It is safe for concurrent use.
type tableAssembler struct {
	mu     sync.Mutex
	tables map[tableID]*partialTable
}

type tableID struct {
	host        string
	incarnation uint64
}

type partialTable struct {
	receivedParts map[uint32]bool
	entries       []claim.SealedEntry
}

// maxPartialTables bounds the tables that are received at the same time. Beyond it, all incomplete ones are dropped.
const maxPartialTables = 16

func newTableAssembler() *tableAssembler { return &tableAssembler{tables: map[tableID]*partialTable{}} }

// add stores a part and returns the entries of the table, and true, once all parts have arrived.
func (s *tableAssembler) add(r *inner.SealRequest) ([]claim.SealedEntry, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := tableID{r.Host, r.Incarnation}
	t := s.tables[id]
	if t == nil {
		if len(s.tables) >= maxPartialTables {
			clear(s.tables)
		}
		t = &partialTable{receivedParts: map[uint32]bool{}}
		s.tables[id] = t
	}
	if !t.receivedParts[r.Part] {
		t.receivedParts[r.Part] = true
		t.entries = append(t.entries, sealedEntriesFromWire(r.Entries)...)
	}
	if uint32(len(t.receivedParts)) < r.Parts {
		return nil, false
	}
	delete(s.tables, id)
	return t.entries, true
}

func sealedEntriesFromWire(entries []*inner.SealedEntry) []claim.SealedEntry {
	sealed := make([]claim.SealedEntry, 0, len(entries))
	for _, e := range entries {
		sealed = append(sealed, claim.SealedEntry{
			Key: e.Key, Fingerprint: e.Fingerprint, Outcome: claim.Outcome(e.Outcome), HasResponse: e.Kept,
			Response: claim.Response{Status: int(e.Status), Header: fieldsFromWire(e.Headers), Body: e.Body},
		})
	}
	return sealed
}
