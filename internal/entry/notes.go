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

// watchersPerDomain is how many hosts of a failure domain read the store for the others.
const watchersPerDomain = 2

// noteLoop brings newer notes in force: on a peer's hint, and from the store where this host is a watcher.
func (h *Host) noteLoop(ctx context.Context) {
	h.readStore(ctx)
	for ctx.Err() == nil {
		waitCtx, cancel := context.WithTimeout(ctx, noteInterval)
		hint, received := h.noteHints.Pop(waitCtx)
		cancel()
		switch {
		case received && hint.address != "" && hint.number <= h.chain.Number():
			// Another peer was quicker.
		case received && hint.address != "":
			h.fetchNotes(ctx, hint.address)
		case received, h.isWatcher(), !h.membership.Self().Ready:
			h.readStore(ctx)
		}
	}
}

// isWatcher reports whether this host reads the store for its failure domain.
func (h *Host) isWatcher() bool {
	return host.IsWatcher(h.membership.Self(), h.membership.Live(h.now()), watchersPerDomain)
}

// readStore reads newer notes from the store; a stale or failed read changes nothing.
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

// fetchNotes reads newer notes from a peer.
func (h *Host) fetchNotes(ctx context.Context, address string) {
	previous := h.chain.Number()
	reply, err := h.client.Notes(ctx, address, previous)
	if err != nil {
		return
	}
	if err := applyNotes(h.chain, reply); err != nil {
		h.records.Add(record.Record{Kind: record.NoteRejected, Cause: "Chain", Note: previous, Evidence: record.Evidence{Peer: address, Detail: err.Error()}})
	}
	h.applyHead(previous, "Peer")
	h.updateReady()
}

// applyNotes brings a chain forward by what a peer sent; errors are note.ErrChain.
func applyNotes(chain *note.Chain, reply *inner.FetchNotesReply) error {
	if len(reply.Snapshot) > 0 {
		var s note.Snapshot
		if err := json.Unmarshal(reply.Snapshot, &s); err != nil {
			return note.ErrChain.New("the peer sent a snapshot that cannot be read (%v); ask another", err)
		}
		if _, err := chain.AdoptSnapshot(s); err != nil {
			return err
		}
	}
	for _, text := range reply.Records {
		var r note.Record
		if err := json.Unmarshal(text, &r); err != nil {
			return note.ErrChain.New("the peer sent a record that cannot be read (%v); ask another", err)
		}
		if _, err := chain.Adopt(r); err != nil {
			return err
		}
	}
	return nil
}

// applyHead puts the chain's head in force here and tells the peers, when it is newer than before.
func (h *Host) applyHead(previous int, cause string) {
	head, hash, configuration := h.chain.Head()
	if head.Number <= previous {
		return
	}
	h.dispatcher.Adopt(configuration)
	h.inForceSince.Store(time.Now().UnixMilli())
	h.membership.SetNote(head.Number)
	h.records.Add(record.Record{
		Kind: record.NoteAdopted, Cause: cause, Note: head.Number,
		Evidence: record.Evidence{Hash: hash, Peer: head.Note.Operator, Detail: head.Note.Reason},
	})
	h.triggerHeartbeat()
}

// watchLoop holds the store's watch while this host is a watcher.
func (h *Host) watchLoop(ctx context.Context) {
	for duty.Sleep(ctx, noteInterval) {
		if !h.isWatcher() {
			continue
		}
		watchCtx, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			// The watch only saves time: the note duty reads the store each second as well.
			_ = h.config.Store.Watch(watchCtx, note.KeyPrefix, func(platform.Entry) { h.noteHints.Push(noteHint{}) })
		}()
		h.watchUntil(watchCtx, done)
		cancel()
		<-done
	}
}

// watchUntil returns when the watch ended or this host is no watcher any more.
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
