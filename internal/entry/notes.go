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

// noteDuty brings newer notes in force: on a peer's hint, and from the store where this host is a watcher.
func (h *Host) noteDuty(ctx context.Context) {
	h.catchUp(ctx)
	for ctx.Err() == nil {
		wait, cancel := context.WithTimeout(ctx, noteEvery)
		hint, hinted := h.hints.Pop(wait)
		cancel()
		switch {
		case hinted && hint.inner != "" && hint.note <= h.chain.Number():
			// Another peer was quicker.
		case hinted && hint.inner != "":
			h.fetch(ctx, hint.inner)
		case hinted, h.isWatcher(), !h.table.Self().Ready:
			h.catchUp(ctx)
		}
	}
}

// isWatcher reports whether this host reads the store for its failure domain.
func (h *Host) isWatcher() bool {
	return host.IsWatcher(h.table.Self(), h.table.Live(h.now()), watchersPerDomain)
}

// catchUp reads newer notes from the store; a stale or failed read changes nothing.
func (h *Host) catchUp(ctx context.Context) {
	before := h.chain.Number()
	err := h.archive.CatchUp(ctx, h.chain)
	up := err == nil
	first := !h.storeAsked.Swap(true)
	changed := up != h.storeUp.Swap(up)
	if ctx.Err() == nil && (changed && !first || first && !up) {
		h.explainStore(err)
	}
	h.adopted(before, "Store")
	h.refreshReady()
}

func (h *Host) explainStore(err error) {
	r := record.Record{Kind: record.StoreReturned, Cause: "Read", Note: h.chain.Number()}
	if err != nil {
		r.Kind, r.Evidence.Detail = record.StoreLost, err.Error()
	}
	h.book.Add(r)
}

// fetch reads newer notes from a peer.
func (h *Host) fetch(ctx context.Context, address string) {
	before := h.chain.Number()
	reply, err := h.client.FetchNotes(ctx, address, before)
	if err != nil {
		return
	}
	if err := adoptReply(h.chain, reply); err != nil {
		h.book.Add(record.Record{Kind: record.NoteRejected, Cause: "Chain", Note: before, Evidence: record.Evidence{Peer: address, Detail: err.Error()}})
	}
	h.adopted(before, "Peer")
	h.refreshReady()
}

// adoptReply brings a chain forward by what a peer sent; errors are note.ErrChain.
func adoptReply(chain *note.Chain, reply *inner.FetchNotesReply) error {
	if len(reply.Snapshot) > 0 {
		var s note.Snapshot
		if err := json.Unmarshal(reply.Snapshot, &s); err != nil {
			return note.ErrChain.New("the peer sent a snapshot that cannot be read (%v); ask another", err)
		}
		if _, err := chain.ApplySnapshot(s); err != nil {
			return err
		}
	}
	for _, text := range reply.Records {
		var r note.Record
		if err := json.Unmarshal(text, &r); err != nil {
			return note.ErrChain.New("the peer sent a record that cannot be read (%v); ask another", err)
		}
		if _, err := chain.Apply(r); err != nil {
			return err
		}
	}
	return nil
}

// adopted puts the chain's head in force here and tells the peers, when it is newer than before.
func (h *Host) adopted(before int, cause string) {
	head, hash, configuration := h.chain.Head()
	if head.Number <= before {
		return
	}
	h.steering.Adopt(configuration)
	h.inForce.Store(time.Now().UnixMilli())
	h.table.SetNote(head.Number)
	h.book.Add(record.Record{
		Kind: record.NoteAdopted, Cause: cause, Note: head.Number,
		Evidence: record.Evidence{Hash: hash, Peer: head.Note.Operator, Detail: head.Note.Reason},
	})
	h.kickBeat()
}

// watchDuty holds the store's watch while this host is a watcher.
func (h *Host) watchDuty(ctx context.Context) {
	for duty.Sleep(ctx, noteEvery) {
		if !h.isWatcher() {
			continue
		}
		watching, cancel := context.WithCancel(ctx)
		done := make(chan struct{})
		go func() {
			defer close(done)
			// The watch only saves time: the note duty reads the store each second as well.
			_ = h.config.Store.Watch(watching, note.KeyPrefix, func(platform.Entry) { h.hints.Push(hint{}) })
		}()
		h.watchUntil(watching, done)
		cancel()
		<-done
	}
}

// watchUntil returns when the watch ended or this host is no watcher any more.
func (h *Host) watchUntil(ctx context.Context, done <-chan struct{}) {
	ticker := time.NewTicker(noteEvery)
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
