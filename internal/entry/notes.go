package entry

import (
	"context"
	"encoding/json"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/note"
	"briarcroft/internal/platform"
	"briarcroft/internal/record"
)

// watchersPerDomain is how many entry hosts of a failure domain, the watchers, read notes from the store; the others get
// them from peers. The load on the store thus depends on the number of failure domains and not on that of hosts.
const watchersPerDomain = 2

// noteLoop puts newer notes in force. It fetches them from the peer or the store that a hint names. Without a hint it
// reads the store once per noteInterval if this host is a watcher or not ready yet.
func (h *Host) noteLoop(ctx context.Context) {
	h.readStore(ctx)
	for ctx.Err() == nil {
		waitCtx, cancel := context.WithTimeout(ctx, noteInterval)
		hint, received := h.noteHints.Pop(waitCtx)
		cancel()
		switch {
		case received && hint.address != "" && hint.number <= h.chain.Number():
			// The note has already come from the store or from another peer.
		case received && hint.address != "":
			h.fetchNotes(ctx, hint.address)
		case received, h.isWatcher(), !h.membership.Self().Ready:
			h.readStore(ctx)
		}
	}
}

// isWatcher reports whether this host is one of the watchers of its failure domain; see watchersPerDomain.
func (h *Host) isWatcher() bool {
	return host.IsWatcher(h.membership.Self(), h.membership.Live(h.now()), watchersPerDomain)
}

// readStore reads newer notes from the store and puts them in force. A read that is stale or fails leaves the present
// note in force. It adds a record when the store becomes reachable or unreachable.
func (h *Host) readStore(ctx context.Context) {
	previous := h.chain.Number()
	err := h.archive.CatchUp(ctx, h.chain)
	reachable := err == nil
	firstRead := !h.storeRead.Swap(true)
	changed := reachable != h.storeReachable.Swap(reachable)
	if ctx.Err() == nil && (changed && !firstRead || firstRead && !reachable) {
		h.recordStoreState(err)
	}
	h.applyHead(previous, "Store")
	h.updateReady()
}

func (h *Host) recordStoreState(err error) {
	r := record.Record{Kind: record.StoreReturned, Cause: "Read", Note: h.chain.Number()}
	if err != nil {
		r.Kind, r.Evidence.Detail = record.StoreLost, err.Error()
	}
	h.records.Add(r)
}

// fetchNotes fetches newer notes from the peer at an address and puts them in force.
func (h *Host) fetchNotes(ctx context.Context, address string) {
	previous := h.chain.Number()
	reply, err := h.client.FetchNotes(ctx, address, previous)
	if err != nil {
		return
	}
	if err := applyNotes(h.chain, reply); err != nil {
		h.records.Add(record.Record{Kind: record.NoteRejected, Cause: "Chain", Note: previous, Evidence: record.Evidence{Peer: address, Detail: err.Error()}})
	}
	h.applyHead(previous, "Peer")
	h.updateReady()
}

// applyNotes extends the chain of notes by the snapshot and the records that a peer sent; errors are note.ErrChain.
func applyNotes(chain *note.Chain, reply *inner.FetchNotesReply) error {
	if len(reply.Snapshot) > 0 {
		var s note.Snapshot
		if err := json.Unmarshal(reply.Snapshot, &s); err != nil {
			return note.ErrChain.New("cannot decode the snapshot that the peer sent: %v; fetch the notes from another peer", err)
		}
		if _, err := chain.ApplySnapshot(s); err != nil {
			return err
		}
	}
	for _, encoded := range reply.Records {
		var r note.Record
		if err := json.Unmarshal(encoded, &r); err != nil {
			return note.ErrChain.New("cannot decode a record that the peer sent: %v; fetch the notes from another peer", err)
		}
		if _, err := chain.Apply(r); err != nil {
			return err
		}
	}
	return nil
}

// applyHead puts the head of the chain in force on this host if it is newer than the note numbered previous, and starts
// a round of heartbeats so that peers fetch it. cause is where the note came from, for the event record.
func (h *Host) applyHead(previous int, cause string) {
	head, hash, configuration := h.chain.Head()
	if head.Number <= previous {
		return
	}
	h.dispatcher.Apply(configuration)
	h.inForceSince.Store(time.Now().UnixMilli())
	h.membership.SetNote(head.Number)
	h.records.Add(record.Record{
		Kind: record.NoteAdopted, Cause: cause, Note: head.Number,
		Evidence: record.Evidence{Hash: hash, Peer: head.Note.Operator, Detail: head.Note.Reason},
	})
	h.triggerHeartbeat()
}

// watchLoop keeps a watch on the notes in the store open while this host is a watcher. Each change
// that the watch reports makes noteLoop read the store at once.
func (h *Host) watchLoop(ctx context.Context) {
	for duty.Sleep(ctx, noteInterval) {
		if !h.isWatcher() {
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			// The watch only makes new notes arrive sooner: noteLoop of a watcher also reads the store once per noteInterval.
			_ = h.config.Store.Watch(watchCtx, note.KeyPrefix, func(platform.Entry) { h.noteHints.Push(noteHint{}) })
		}()
		h.watchUntil(watchCtx, done)
		cancel()
		<-done
	}
}

// watchUntil returns when the watch or ctx has ended, or when this host is no longer a watcher.
func (h *Host) watchUntil(ctx context.Context, done <-chan struct{}) {
	ticker := time.NewTicker(noteInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !h.isWatcher() {
				return
			}
		}
	}
}
