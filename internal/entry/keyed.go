package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/steering"

	"github.com/joomcode/errorx"
)

// Numbers of passing on.
const (
	// forwardAttempts is how often a request is sent to the host of its grant; the host runs it once all the same.
	forwardAttempts = 2
	// sealedTableReplicas is how many peers hold the table of a host that left.
	sealedTableReplicas = 3
)

// serveKeyed runs a non-idempotent request with an Idempotency-Key at most once.
func (f *frontend) serveKeyed(w http.ResponseWriter, r *http.Request, request *steering.Request, text string) {
	key, err := claim.ParseKey(text)
	if err != nil {
		w.Header().Set(steering.HeaderReason, err.Error())
		f.writeRefusal(w, &steering.Refusal{Status: http.StatusBadRequest, Outcome: claim.NotRun})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	f.writeResult(w, f.host.runKeyed(ctx, request, key))
}

// runKeyed runs a keyed request here, or has the host of its grant run it.
func (h *Host) runKeyed(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	if key.Plain {
		var claimed bool
		if key, claimed = h.plainKeys.claim(ctx, key, h.idempotency.Grant(h.now())); !claimed {
			return &steering.Refusal{Status: http.StatusServiceUnavailable, Outcome: claim.NotRun, Reason: "KeyNotClaimed", RetryAfter: time.Second}
		}
	}
	if key.Grant.Host == h.Name() && key.Grant.Incarnation == h.incarnation {
		return h.runLocally(ctx, r, key)
	}
	if decision, known := h.sealedTables.Answer(h.now(), key, r.Fingerprint); known {
		return h.decisionResult(decision)
	}
	return h.forwardToGrantHost(ctx, r, key)
}

// runLocally runs a request whose grant this incarnation issued.
func (h *Host) runLocally(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	for {
		decision := h.idempotency.Begin(h.now(), key, r.Fingerprint)
		switch decision := decision.(type) {
		case claim.Run:
			return h.runDetached(ctx, r, key)
		case claim.Join:
			h.stats.joined.Add(1)
			select {
			case <-decision.Done:
			case <-ctx.Done():
				return &steering.Refusal{Status: http.StatusGatewayTimeout, Outcome: claim.Unknown, Reason: "DeadlinePassed"}
			}
		default:
			return h.decisionResult(decision)
		}
	}
}

// decisionResult turns a verdict that needs no run into a result.
func (h *Host) decisionResult(decision claim.Verdict) steering.Result {
	switch d := decision.(type) {
	case claim.Kept:
		h.stats.stored.Add(1)
		return storedResponse(d.Answer)
	case claim.Refusal:
		return &steering.Refusal{Status: refusalStatus(d), Outcome: d.Outcome, Reason: string(d.Reason), RetryAfter: d.RetryAfter}
	case claim.Run, claim.Join:
	}
	return &steering.Refusal{Status: http.StatusInternalServerError, Outcome: claim.Unknown, Reason: "NoVerdict"}
}

func refusalStatus(r claim.Refusal) int {
	switch r.Reason {
	case claim.ReasonDifferent:
		return http.StatusUnprocessableEntity
	case claim.ReasonTooLarge, claim.ReasonGrantExpired, claim.ReasonGrantFuture, claim.ReasonRefused:
		return http.StatusConflict
	case claim.ReasonTableFull, claim.ReasonSealed:
		return http.StatusServiceUnavailable
	case claim.ReasonInterrupted, claim.ReasonForgotten, claim.ReasonOtherHost:
	}
	return http.StatusGatewayTimeout
}

func storedResponse(a claim.Answer) *steering.Answer {
	return bufferedResponse(a.Status, headerFromFields(a.Fields), a.Body)
}

// runDetached hands the request to a target, once. The run goes on when its caller goes away, so that a resend finds its answer.
func (h *Host) runDetached(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	results := make(chan steering.Result, 1)
	go func() {
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
		defer cancel()
		results <- h.runAndRecord(detached, r, key)
	}()
	select {
	case result := <-results:
		return result
	case <-ctx.Done():
	}
	select {
	case result := <-results:
		return result
	case <-time.After(time.Until(r.Deadline) + lateResultGrace):
		return &steering.Refusal{Status: http.StatusGatewayTimeout, Outcome: claim.Unknown, Reason: "DeadlinePassed"}
	}
}

// lateResultGrace is how long after the deadline a run may still tell how it ended.
const lateResultGrace = 250 * time.Millisecond

// runAndRecord runs a claimed request and tells the table how it ended before anyone else learns it.
func (h *Host) runAndRecord(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	_, service, found := h.dispatcher.Match(r.Host, pathOf(r.URI), r.Method)
	if !found {
		h.idempotency.Finish(key, claim.NeverHanded{})
		return &steering.Refusal{Status: http.StatusNotFound, Outcome: claim.NotRun, Reason: "NoRule"}
	}
	result := service.Run(ctx, r)
	response, isResponse := result.(*steering.Answer)
	if !isResponse {
		refusal, _ := result.(*steering.Refusal)
		h.recordRefused(key, refusal)
		return result
	}
	if response.Outcome == claim.NotRun {
		h.idempotency.Finish(key, claim.NeverHanded{})
		return response
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(h.settings.Limits.BodyBytes)+1))
	closeErr := response.Body.Close()
	if err != nil || len(body) > h.settings.Limits.BodyBytes {
		h.idempotency.Finish(key, claim.Lost{})
		return &steering.Refusal{Status: http.StatusBadGateway, Outcome: claim.Unknown, Reason: "AnswerCut"}
	}
	removeHopByHopHeaders(response.Header)
	response.Header.Set(steering.HeaderTarget, response.Target)
	stored := claim.Answer{Status: response.Status, Fields: fieldsFromHeader(response.Header), Body: body}
	h.idempotency.Finish(key, claim.Answered{Answer: stored, Keep: closeErr == nil && len(body) <= h.settings.Limits.KeyedBodyBytes})
	replayable := storedResponse(stored)
	replayable.Target = response.Target
	return replayable
}

func (h *Host) recordRefused(key claim.Key, refusal *steering.Refusal) {
	if refusal != nil && refusal.Outcome == claim.NotRun {
		h.idempotency.Finish(key, claim.NeverHanded{})
		return
	}
	h.idempotency.Finish(key, claim.Lost{})
}

// forwardToGrantHost has the host that issued the grant run the request, or a holder of its sealed table answer for it.
func (h *Host) forwardToGrantHost(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	h.stats.forwarded.Add(1)
	request := &inner.PassRequest{
		Method: r.Method, Host: r.Host, Uri: r.URI, Headers: fieldsToWire(fieldsFromHeader(r.Header)), Body: r.Body,
		DeadlineMilliseconds: max(1, time.Until(r.Deadline).Milliseconds()),
	}
	request.Headers = append(request.Headers, &inner.Header{Name: headerForwardedKey, Value: key.String()})
	for _, address := range h.grantHolderAddresses(key.Grant) {
		for range forwardAttempts {
			reply, err := h.client.PassOn(ctx, address, request)
			if err == nil && reply.Status == statusUnknownGrant {
				break
			}
			if err == nil {
				return forwardedResponse(reply)
			}
			if ctx.Err() != nil || !errorx.IsOfType(err, inner.ErrSilent) && !errorx.IsOfType(err, inner.ErrPeer) {
				break
			}
		}
	}
	return &steering.Refusal{Status: http.StatusGatewayTimeout, Outcome: claim.Unknown, Reason: "GrantHostUnreachable"}
}

// grantHolderAddresses returns who may know of a grant: its incarnation while it lives, then the holders of its sealed table.
func (h *Host) grantHolderAddresses(g claim.Grant) []string {
	var addresses []string
	if m, known := h.table.Find(g.Host); known && m.Incarnation == g.Incarnation {
		addresses = append(addresses, m.Inner)
	}
	for _, m := range h.sealedTableHolders(g.Host, g.Incarnation) {
		if m.Name != h.Name() {
			addresses = append(addresses, m.Inner)
		}
	}
	return addresses
}

// sealedTableHolders returns the peers that hold the table of an incarnation after it left.
func (h *Host) sealedTableHolders(name string, incarnation uint64) []host.Member {
	var peers []host.Member
	for _, m := range h.table.Live(h.now()) {
		if m.Name != name {
			peers = append(peers, m)
		}
	}
	ranked := host.Rank("sealed\x00"+name, peers)
	return ranked[:min(sealedTableReplicas, len(ranked))]
}

func forwardedResponse(reply *inner.PassReply) steering.Result {
	return bufferedResponse(int(reply.Status), headerFromFields(fieldsFromWire(reply.Headers)), reply.Body)
}

// bufferedResponse returns an answer whose body is at hand.
func bufferedResponse(status int, header http.Header, body []byte) *steering.Answer {
	return &steering.Answer{
		Status: status, Header: header, Body: io.NopCloser(bytes.NewReader(body)), Text: body, Length: int64(len(body)), Whole: true,
	}
}
