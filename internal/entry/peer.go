package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/inner"
	"briarcroft/internal/steering"
	"briarcroft/internal/uri"
)

// statusUnknownGrant is the status of a reply to Pass from a host that cannot answer the request: it neither issued the
// grant nor holds the sealed table of the host that did, or no rule of its note matches. The sender then tries the next
// host.
const statusUnknownGrant = 0

// headerForwardedKey is the header field that carries the key, with its grant, of a request that is forwarded to a peer.
const headerForwardedKey = "Briarcroft-Passed-Key"

// peerServer implements the RPCs of entry hosts that peers call.
type peerServer struct {
	// The embedded type rejects the RPCs for placement, which only gateways implement.
	inner.DRPCPeerUnimplementedServer
	host *Host
}

// Heartbeat implements inner.DRPCPeerServer: it merges the peer's membership and quarantines and replies with its own.
func (p *peerServer) Heartbeat(_ context.Context, r *inner.HeartbeatRequest) (*inner.HeartbeatReply, error) {
	h := p.host
	reply := inner.HandleHeartbeat(h.membership, h.now(), r)
	h.handlePeerState(r.Sender, r.Quarantines)
	reply.Quarantines = inner.EncodeQuarantines(h.quarantine.All(h.now()))
	return reply, nil
}

// Counts implements inner.DRPCPeerServer: it stores the requests in flight that a peer pushed.
func (p *peerServer) Counts(_ context.Context, r *inner.CountsRequest) (*inner.CountsReply, error) {
	p.host.handleCounts(r)
	return &inner.CountsReply{}, nil
}

// FetchNotes implements inner.DRPCPeerServer: it returns the records of the notes that follow the one that the peer has, or
// a snapshot of the newest configuration when those records are no longer kept.
func (p *peerServer) FetchNotes(_ context.Context, r *inner.FetchNotesRequest) (*inner.FetchNotesReply, error) {
	snapshot, records := p.host.chain.Since(int(r.Above))
	reply := &inner.FetchNotesReply{}
	var err error
	if snapshot != nil {
		if reply.Snapshot, err = json.Marshal(snapshot); err != nil {
			return nil, err
		}
	}
	for _, record := range records {
		encoded, err := json.Marshal(record)
		if err != nil {
			return nil, err
		}
		reply.Records = append(reply.Records, encoded)
	}
	return reply, nil
}

// Pass implements inner.DRPCPeerServer: it runs a request whose grant this incarnation issued, or answers from a sealed
// table. While the request runs, it sends keep-alive messages so that the peer can tell a slow run from a dead connection.
func (p *peerServer) Pass(r *inner.PassRequest, stream inner.DRPCPeer_PassStream) error {
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(r.DeadlineMilliseconds)*time.Millisecond)
	defer cancel()
	replies := make(chan *inner.PassReply, 1)
	go func() { replies <- p.runForwardedRecovered(ctx, r) }()
	keepAlive := time.NewTicker(inner.KeepAliveInterval)
	defer keepAlive.Stop()
	for {
		select {
		case reply := <-replies:
			return stream.Send(reply)
		case <-keepAlive.C:
			if err := stream.Send(&inner.PassReply{Alive: true}); err != nil {
				return err
			}
		}
	}
}

// runForwardedRecovered does the same as runForwarded. After a panic the outcome is unknown.
func (p *peerServer) runForwardedRecovered(ctx context.Context, r *inner.PassRequest) (reply *inner.PassReply) {
	defer func() {
		if p.host.recovered("Pass", recover()) {
			reply = passReply(panicRefusal())
		}
	}()
	return p.runForwarded(ctx, r)
}

func (p *peerServer) runForwarded(ctx context.Context, r *inner.PassRequest) *inner.PassReply {
	header := headerFromFields(fieldsFromWire(r.Headers))
	key, err := claim.ParseKey(header.Get(headerForwardedKey))
	if err != nil {
		return &inner.PassReply{Status: statusUnknownGrant}
	}
	header.Del(headerForwardedKey)
	request, found := p.newRequest(ctx, r, header)
	if !found {
		return &inner.PassReply{Status: statusUnknownGrant}
	}
	if key.Grant.Host == p.host.Name() && key.Grant.Incarnation == p.host.incarnation {
		return passReply(p.host.runLocally(ctx, request, key))
	}
	if decision, isSealed := p.host.sealedTables.Lookup(p.host.now(), key, request.Fingerprint); isSealed {
		return passReply(p.host.decisionResult(decision))
	}
	return &inner.PassReply{Status: statusUnknownGrant}
}

// newRequest converts a forwarded request for the dispatcher; it returns false when no rule matches it.
func (p *peerServer) newRequest(ctx context.Context, r *inner.PassRequest, header http.Header) (*steering.Request, bool) {
	rule, _, found := p.host.dispatcher.Match(r.Host, uri.PathOf(r.Uri), r.Method)
	if !found {
		return nil, false
	}
	deadline, _ := ctx.Deadline()
	request := &steering.Request{
		Method: r.Method, Host: r.Host, URI: r.Uri, Header: header, Body: r.Body, Length: int64(len(r.Body)), Rule: rule,
		Domain: header.Get(steering.HeaderDomain), Arrived: time.Now(), Deadline: deadline, RetryAllowance: retryAllowance(header),
	}
	request.Fingerprint = fingerprint(request)
	return request, true
}

// passReply converts a result into a reply to the peer that forwarded the request.
func passReply(result steering.Result) *inner.PassReply {
	w := &replyWriter{header: http.Header{}}
	switch result := result.(type) {
	case *steering.Refusal:
		writeRefusal(w, result)
	case *steering.Response:
		defer result.Body.Close()
		w.header, w.status = result.Header, result.Status
		if result.Outcome != "" {
			w.header.Set(steering.HeaderOutcome, string(result.Outcome))
		}
		if _, err := w.body.ReadFrom(result.Body); err != nil {
			w = &replyWriter{header: http.Header{}}
			writeRefusal(w, &steering.Refusal{Status: http.StatusBadGateway, Outcome: claim.Unknown, Reason: "AnswerCut"})
		}
	}
	return &inner.PassReply{Status: int32(w.status), Headers: fieldsToWire(fieldsFromHeader(w.header)), Body: w.body.Bytes()}
}

// replyWriter is an http.ResponseWriter that keeps the response in memory.
type replyWriter struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header implements http.ResponseWriter.
func (w *replyWriter) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *replyWriter) WriteHeader(status int) { w.status = status }

// Write implements http.ResponseWriter.
func (w *replyWriter) Write(p []byte) (int, error) { return w.body.Write(p) }

// Seal implements inner.DRPCPeerServer: it stores the sealed idempotency table of a peer that is leaving.
func (p *peerServer) Seal(_ context.Context, r *inner.SealRequest) (*inner.SealReply, error) {
	entries, complete := p.host.tableAssembler.add(r)
	if !complete {
		return &inner.SealReply{}, nil
	}
	remaining := time.Duration(r.RemainingMilliseconds) * time.Millisecond
	sealedAt := time.Duration(r.SealedAtMilliseconds) * time.Millisecond
	if !p.host.sealedTables.Add(p.host.now(), claim.ExportedTable{Host: r.Host, Incarnation: r.Incarnation, SealedAt: sealedAt, Retention: remaining, Entries: entries}) {
		return nil, inner.ErrPeerFailed.New("host %s has no room for the table of %s; the next holder is asked", p.host.Name(), r.Host)
	}
	return &inner.SealReply{}, nil
}
