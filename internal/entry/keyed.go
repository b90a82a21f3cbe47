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
	// passTries is how often a request is sent to the host of its grant; the host runs it once all the same.
	passTries = 2
	// sealHolders is how many peers hold the table of a host that left.
	sealHolders = 3
)

// serveKeyed runs a non-idempotent request with an Idempotency-Key at most once.
func (f *front) serveKeyed(w http.ResponseWriter, r *http.Request, request *steering.Request, text string) {
	key, err := claim.ParseKey(text)
	if err != nil {
		w.Header().Set(steering.HeaderReason, err.Error())
		f.refuse(w, &steering.Refusal{Status: http.StatusBadRequest, Outcome: claim.NotRun})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	f.write(w, f.host.runKeyed(ctx, request, key))
}

// runKeyed runs a keyed request here, or has the host of its grant run it.
func (h *Host) runKeyed(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	if key.Plain {
		var claimed bool
		if key, claimed = h.plain.claim(ctx, key, h.claims.Grant(h.now())); !claimed {
			return &steering.Refusal{Status: http.StatusServiceUnavailable, Outcome: claim.NotRun, Reason: "KeyNotClaimed", RetryAfter: time.Second}
		}
	}
	if key.Grant.Host == h.Name() && key.Grant.Incarnation == h.incarnation {
		return h.runOwn(ctx, r, key)
	}
	if verdict, held := h.sealed.Answer(h.now(), key, r.Fingerprint); held {
		return h.settled(verdict)
	}
	return h.passOn(ctx, r, key)
}

// runOwn runs a request whose grant this incarnation issued.
func (h *Host) runOwn(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	for {
		verdict := h.claims.Begin(h.now(), key, r.Fingerprint)
		switch verdict := verdict.(type) {
		case claim.Run:
			return h.runClaimed(ctx, r, key)
		case claim.Join:
			h.stats.joined.Add(1)
			select {
			case <-verdict.Done:
			case <-ctx.Done():
				return &steering.Refusal{Status: http.StatusGatewayTimeout, Outcome: claim.Unknown, Reason: "DeadlinePassed"}
			}
		default:
			return h.settled(verdict)
		}
	}
}

// settled turns a verdict that needs no run into a result.
func (h *Host) settled(verdict claim.Verdict) steering.Result {
	switch v := verdict.(type) {
	case claim.Kept:
		h.stats.kept.Add(1)
		return keptAnswer(v.Answer)
	case claim.Refusal:
		return &steering.Refusal{Status: refusalStatus(v), Outcome: v.Outcome, Reason: string(v.Reason), RetryAfter: v.RetryAfter}
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

func keptAnswer(a claim.Answer) *steering.Answer {
	return wholeAnswer(a.Status, fieldsHeader(a.Fields), a.Body)
}

// runClaimed hands the request to a target, once. The run goes on when its caller goes away, so that a resend finds its answer.
func (h *Host) runClaimed(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	ended := make(chan steering.Result, 1)
	go func() {
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
		defer cancel()
		ended <- h.runToEnd(detached, r, key)
	}()
	select {
	case result := <-ended:
		return result
	case <-ctx.Done():
	}
	select {
	case result := <-ended:
		return result
	case <-time.After(time.Until(r.Deadline) + lateAnswer):
		return &steering.Refusal{Status: http.StatusGatewayTimeout, Outcome: claim.Unknown, Reason: "DeadlinePassed"}
	}
}

// lateAnswer is how long after the deadline a run may still tell how it ended.
const lateAnswer = 250 * time.Millisecond

// runToEnd runs a claimed request and tells the table how it ended before anyone else learns it.
func (h *Host) runToEnd(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	_, service, found := h.steering.Match(r.Host, pathOf(r.URI), r.Method)
	if !found {
		h.claims.Finish(key, claim.NeverHanded{})
		return &steering.Refusal{Status: http.StatusNotFound, Outcome: claim.NotRun, Reason: "NoRule"}
	}
	result := service.Run(ctx, r)
	answer, answered := result.(*steering.Answer)
	if !answered {
		refusal, _ := result.(*steering.Refusal)
		h.finishRefused(key, refusal)
		return result
	}
	if answer.Outcome == claim.NotRun {
		h.claims.Finish(key, claim.NeverHanded{})
		return answer
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, int64(h.settings.Limits.BodyBytes)+1))
	closeErr := answer.Body.Close()
	if err != nil || len(body) > h.settings.Limits.BodyBytes {
		h.claims.Finish(key, claim.Lost{})
		return &steering.Refusal{Status: http.StatusBadGateway, Outcome: claim.Unknown, Reason: "AnswerCut"}
	}
	dropHops(answer.Header)
	answer.Header.Set(steering.HeaderTarget, answer.Target)
	kept := claim.Answer{Status: answer.Status, Fields: headerFields(answer.Header), Body: body}
	h.claims.Finish(key, claim.Answered{Answer: kept, Keep: closeErr == nil && len(body) <= h.settings.Limits.KeyedBodyBytes})
	whole := keptAnswer(kept)
	whole.Target = answer.Target
	return whole
}

func (h *Host) finishRefused(key claim.Key, refusal *steering.Refusal) {
	if refusal != nil && refusal.Outcome == claim.NotRun {
		h.claims.Finish(key, claim.NeverHanded{})
		return
	}
	h.claims.Finish(key, claim.Lost{})
}

// passOn has the host that issued the grant run the request, or a holder of its sealed table answer for it.
func (h *Host) passOn(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	h.stats.passed.Add(1)
	request := &inner.PassRequest{
		Method: r.Method, Host: r.Host, Uri: r.URI, Headers: toWireFields(headerFields(r.Header)), Body: r.Body,
		DeadlineMilliseconds: max(1, time.Until(r.Deadline).Milliseconds()),
	}
	request.Headers = append(request.Headers, &inner.Header{Name: passedKey, Value: key.String()})
	for _, address := range h.passTargets(key.Grant) {
		for range passTries {
			reply, err := h.client.Forward(ctx, address, request)
			if err == nil && reply.Status == statusNotHeld {
				break
			}
			if err == nil {
				return passedAnswer(reply)
			}
			if ctx.Err() != nil || !errorx.IsOfType(err, inner.ErrStreamTimeout) && !errorx.IsOfType(err, inner.ErrPeerFailed) {
				break
			}
		}
	}
	return &steering.Refusal{Status: http.StatusGatewayTimeout, Outcome: claim.Unknown, Reason: "GrantHostUnreachable"}
}

// passTargets returns who may know of a grant: its incarnation while it lives, then the holders of its sealed table.
func (h *Host) passTargets(g claim.Grant) []string {
	var list []string
	if m, known := h.table.Find(g.Host); known && m.Incarnation == g.Incarnation {
		list = append(list, m.Inner)
	}
	for _, m := range h.holders(g.Host, g.Incarnation) {
		if m.Name != h.Name() {
			list = append(list, m.Inner)
		}
	}
	return list
}

// holders returns the peers that hold the table of an incarnation after it left.
func (h *Host) holders(name string, incarnation uint64) []host.Member {
	var peers []host.Member
	for _, m := range h.table.Live(h.now()) {
		if m.Name != name {
			peers = append(peers, m)
		}
	}
	ranked := host.Rank("sealed\x00"+name, peers)
	return ranked[:min(sealHolders, len(ranked))]
}

func passedAnswer(reply *inner.PassReply) steering.Result {
	return wholeAnswer(int(reply.Status), fieldsHeader(fromWireFields(reply.Headers)), reply.Body)
}

// wholeAnswer returns an answer whose body is at hand.
func wholeAnswer(status int, header http.Header, body []byte) *steering.Answer {
	return &steering.Answer{
		Status: status, Header: header, Body: io.NopCloser(bytes.NewReader(body)), Text: body, Length: int64(len(body)), Whole: true,
	}
}
