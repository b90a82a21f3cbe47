package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/host"
	"briarcroft/internal/inner"
	"briarcroft/internal/payload"
	"briarcroft/internal/steering"
	"briarcroft/internal/uri"

	"github.com/joomcode/errorx"
)

// Limits of forwarding keyed requests between entry hosts.
const (
	// forwardAttempts is how often a request is sent to one host before the next one is tried. Sending it again is safe,
	// because a host runs each key at most once.
	forwardAttempts = 2
	// sealedTableReplicas is how many peers get a copy of the idempotency table of a host that stops gracefully.
	sealedTableReplicas = 3
)

// serveKeyed runs a non-idempotent request with an Idempotency-Key at most once and writes the result to the caller.
func (f *frontend) serveKeyed(w http.ResponseWriter, r *http.Request, request *steering.Request, keyValue string) {
	key, err := claim.ParseKey(keyValue)
	if err != nil {
		w.Header().Set(steering.HeaderReason, err.Error())
		f.writeRefusal(w, &steering.Refusal{Status: http.StatusBadRequest, Outcome: claim.NotRun})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), request.Deadline)
	defer cancel()
	f.writeResult(w, f.host.runKeyed(ctx, request, key))
}

// runKeyed runs a keyed request on the host that the key's grant names: this one, or the one it is forwarded to.
// A plain key, which has no grant yet, first gets one through the store.
func (h *Host) runKeyed(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	if key.Plain {
		var claimed bool
		if key, claimed = h.plainKeys.claim(ctx, key, h.idempotency.IssueGrant(h.now())); !claimed {
			return &steering.Refusal{Status: http.StatusServiceUnavailable, Outcome: claim.NotRun, Reason: "KeyNotClaimed", RetryAfter: time.Second}
		}
	}
	if key.Grant.Host == h.Name() && key.Grant.Incarnation == h.incarnation {
		return h.runLocally(ctx, r, key)
	}
	if decision, found := h.sealedTables.Lookup(h.now(), key, r.Fingerprint); found {
		return h.decisionResult(decision)
	}
	return h.forwardToGrantHost(ctx, r, key)
}

// runLocally runs a request whose grant was issued by this incarnation of the host. A request whose key is already
// running waits for that run to end and then gets its stored response.
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

// decisionResult converts a decision that needs no run, a stored response or a refusal, into a result.
func (h *Host) decisionResult(decision claim.Decision) steering.Result {
	switch d := decision.(type) {
	case claim.StoredResponse:
		h.stats.stored.Add(1)
		return storedResponse(d.Response)
	case claim.Refusal:
		return &steering.Refusal{Status: refusalStatus(d), Outcome: d.Outcome, Reason: string(d.Reason), RetryAfter: d.RetryAfter}
	case claim.Run, claim.Join:
	}
	return &steering.Refusal{Status: http.StatusInternalServerError, Outcome: claim.Unknown, Reason: "NoVerdict"}
}

func refusalStatus(r claim.Refusal) int {
	switch r.Reason {
	case claim.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case claim.ReasonResponseTooLarge, claim.ReasonGrantExpired, claim.ReasonGrantNotIssued, claim.ReasonKeyRefused:
		return http.StatusConflict
	case claim.ReasonTableFull, claim.ReasonHostLeaving:
		return http.StatusServiceUnavailable
	case claim.ReasonResponseLost, claim.ReasonKeyTooOld, claim.ReasonOtherIncarnation:
	}
	return http.StatusGatewayTimeout
}

func storedResponse(a claim.Response) *steering.Response {
	return bufferedResponse(a.Status, headerFromFields(a.Header), a.Body)
}

// runDetached runs the request independently of the caller's connection: the run goes on when the caller disconnects,
// so that a resend with the same key finds the response.
func (h *Host) runDetached(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	results := make(chan steering.Result, 1)
	go func() {
		detached, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline)
		defer cancel()
		results <- h.runRecovered(detached, r, key)
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
	case <-h.requests.Done():
		return hostStopped()
	}
}

// lateResultGrace is how long to wait for the result of a run after the deadline of its request, before the outcome is
// reported as unknown.
const lateResultGrace = 250 * time.Millisecond

// runRecovered does the same as runAndRecord. After a panic the outcome is unknown.
func (h *Host) runRecovered(ctx context.Context, r *steering.Request, key claim.Key) (result steering.Result) {
	defer func() {
		if h.recovered("KeyedRequest", recover()) {
			h.idempotency.Finish(key, claim.ResponseLost{})
			result = panicRefusal()
		}
	}()
	return h.runAndRecord(ctx, r, key)
}

// runAndRecord runs a keyed request and stores its outcome in the idempotency table before it returns the result,
// so that the caller never sees a response that a resend would not get.
func (h *Host) runAndRecord(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	_, service, found := h.dispatcher.Match(r.Host, uri.PathOf(r.URI), r.Method)
	if !found {
		h.idempotency.Finish(key, claim.NotSent{})
		return &steering.Refusal{Status: http.StatusNotFound, Outcome: claim.NotRun, Reason: "NoRule"}
	}
	result := service.Run(ctx, r)
	response, isResponse := result.(*steering.Response)
	if !isResponse {
		refusal, _ := result.(*steering.Refusal)
		h.recordRefused(key, refusal)
		return result
	}
	if response.Outcome == claim.NotRun {
		h.idempotency.Finish(key, claim.NotSent{})
		return response
	}
	body, err := h.readWhole(response)
	closeErr := response.Body.Close()
	if err != nil {
		h.idempotency.Finish(key, claim.ResponseLost{})
		return &steering.Refusal{Status: http.StatusBadGateway, Outcome: claim.Unknown, Reason: "AnswerCut"}
	}
	removeHopByHopHeaders(response.Header)
	response.Header.Set(steering.HeaderTarget, response.Target)
	stored := claim.Response{Status: response.Status, Header: fieldsFromHeader(response.Header), Body: body}
	h.idempotency.Finish(key, claim.Completed{Response: stored, Store: closeErr == nil && len(body) <= h.settings.Limits.KeyedBodyBytes})
	replayable := storedResponse(stored)
	replayable.Target = response.Target
	return replayable
}

// errResponseTooLong reports that the body of a response exceeds Limits.BodyBytes.
var errResponseTooLong = errors.New("the body of the response is too long")

// readWhole reads the body of a response completely. All bodies that are being read share a budget, because they may have no end; those
// that are in memory already do not count. The error is payload.ErrNoRoom, errResponseTooLong or that of reading.
func (h *Host) readWhole(response *steering.Response) ([]byte, error) {
	if response.Buffered {
		return response.Content, nil
	}
	body := payload.NewBudgeted(h.responses, 0)
	defer body.Release()
	limit := int64(h.settings.Limits.BodyBytes)
	if _, err := body.Fill(response.Body, -1, limit+1); err != nil {
		return nil, err
	}
	if body.Length() > limit {
		return nil, errResponseTooLong
	}
	return body.Bytes(), nil
}

// recordRefused stores in the idempotency table that a request was not run, or that its outcome is unknown if the refusal
// does not say that it was not run.
func (h *Host) recordRefused(key claim.Key, refusal *steering.Refusal) {
	if refusal != nil && refusal.Outcome == claim.NotRun {
		h.idempotency.Finish(key, claim.NotSent{})
		return
	}
	h.idempotency.Finish(key, claim.ResponseLost{})
}

// forwardToGrantHost sends the request to the host that issued its grant and, when that host has stopped, does not answer
// or does not know the grant, to the hosts that hold a copy of its idempotency table, one after another.
func (h *Host) forwardToGrantHost(ctx context.Context, r *steering.Request, key claim.Key) steering.Result {
	h.stats.forwarded.Add(1)
	request := &inner.PassRequest{
		Method: r.Method, Host: r.Host, Uri: r.URI, Headers: fieldsToWire(fieldsFromHeader(r.Header)), Body: r.Body,
		DeadlineMilliseconds: max(1, time.Until(r.Deadline).Milliseconds()),
	}
	request.Headers = append(request.Headers, &inner.Header{Name: headerForwardedKey, Value: key.String()})
	for _, address := range h.grantHolderAddresses(key.Grant) {
		for range forwardAttempts {
			reply, err := h.client.Forward(ctx, address, request)
			if err == nil && reply.Status == statusUnknownGrant {
				break
			}
			if err == nil {
				return forwardedResponse(reply)
			}
			if ctx.Err() != nil || !errorx.IsOfType(err, inner.ErrStreamTimeout) && !errorx.IsOfType(err, inner.ErrPeerFailed) {
				break
			}
		}
	}
	return &steering.Refusal{Status: http.StatusGatewayTimeout, Outcome: claim.Unknown, Reason: "GrantHostUnreachable"}
}

// grantHolderAddresses returns the peer addresses of the hosts that may know a grant: the incarnation that issued it,
// if it is in the membership table, and then the hosts that may hold a copy of its sealed table.
func (h *Host) grantHolderAddresses(g claim.Grant) []string {
	var addresses []string
	if m, found := h.membership.Find(g.Host); found && m.Incarnation == g.Incarnation {
		addresses = append(addresses, m.Inner)
	}
	for _, m := range h.sealedTableHolders(g.Host, g.Incarnation) {
		if m.Name != h.Name() {
			addresses = append(addresses, m.Inner)
		}
	}
	return addresses
}

// sealedTableHolders returns the live hosts that hold the sealed idempotency table of a host that has left, or get it
// while that host stops. They are chosen by rendezvous hashing with the name of the host, so that all hosts with the same
// membership choose the same ones.
func (h *Host) sealedTableHolders(name string, incarnation uint64) []host.Member {
	var peers []host.Member
	for _, m := range h.membership.Live(h.now()) {
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

// bufferedResponse returns a response whose body is already in memory.
func bufferedResponse(status int, header http.Header, body []byte) *steering.Response {
	return &steering.Response{
		Status: status, Header: header, Body: io.NopCloser(bytes.NewReader(body)), Content: body, Length: int64(len(body)), Buffered: true,
	}
}
