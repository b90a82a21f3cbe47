package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"briarcroft/internal/claim"
	"briarcroft/internal/inner"
	"briarcroft/internal/steering"
)

// statusNotHeld tells a peer that this host knows nothing of the grant.
const statusNotHeld = 0

// passedKey carries the key with its grant when a request is passed on.
const passedKey = "Briarcroft-Passed-Key"

// peerServer answers peers.
type peerServer struct {
	// Placement is the business of gateways.
	inner.DRPCPeerUnimplementedServer
	host *Host
}

// Heartbeat implements inner.DRPCPeerServer.
func (p *peerServer) Heartbeat(_ context.Context, r *inner.HeartbeatRequest) (*inner.HeartbeatReply, error) {
	h := p.host
	h.heard(r.Sender, r.Members, r.Quarantines)
	reply := inner.HandleHeartbeat(h.table, h.now(), r)
	reply.Quarantines = h.offenders()
	return reply, nil
}

// Counts implements inner.DRPCPeerServer.
func (p *peerServer) Counts(_ context.Context, r *inner.CountsRequest) (*inner.CountsReply, error) {
	p.host.takeCounts(r)
	return &inner.CountsReply{}, nil
}

// FetchNotes implements inner.DRPCPeerServer.
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
		text, err := json.Marshal(record)
		if err != nil {
			return nil, err
		}
		reply.Records = append(reply.Records, text)
	}
	return reply, nil
}

// Pass implements inner.DRPCPeerServer: it runs a request whose grant this incarnation issued, or answers from a sealed table.
func (p *peerServer) Pass(r *inner.PassRequest, stream inner.DRPCPeer_PassStream) error {
	ctx, cancel := context.WithTimeout(stream.Context(), time.Duration(r.DeadlineMilliseconds)*time.Millisecond)
	defer cancel()
	ended := make(chan *inner.PassReply, 1)
	go func() { ended <- p.run(ctx, r) }()
	alive := time.NewTicker(inner.KeepAliveInterval)
	defer alive.Stop()
	for {
		select {
		case reply := <-ended:
			return stream.Send(reply)
		case <-alive.C:
			if err := stream.Send(&inner.PassReply{Alive: true}); err != nil {
				return err
			}
		}
	}
}

func (p *peerServer) run(ctx context.Context, r *inner.PassRequest) *inner.PassReply {
	header := fieldsHeader(fromWireFields(r.Headers))
	key, err := claim.ParseKey(header.Get(passedKey))
	if err != nil {
		return &inner.PassReply{Status: statusNotHeld}
	}
	header.Del(passedKey)
	request, found := p.request(ctx, r, header)
	if !found {
		return &inner.PassReply{Status: statusNotHeld}
	}
	if key.Grant.Host == p.host.Name() && key.Grant.Incarnation == p.host.incarnation {
		return reply(p.host.runOwn(ctx, request, key))
	}
	if verdict, held := p.host.sealed.Answer(p.host.now(), key, request.Fingerprint); held {
		return reply(p.host.settled(verdict))
	}
	return &inner.PassReply{Status: statusNotHeld}
}

// request makes the request to steer from a passed one.
func (p *peerServer) request(ctx context.Context, r *inner.PassRequest, header http.Header) (*steering.Request, bool) {
	rule, _, found := p.host.steering.Match(r.Host, pathOf(r.Uri), r.Method)
	if !found {
		return nil, false
	}
	deadline, _ := ctx.Deadline()
	request := &steering.Request{
		Method: r.Method, Host: r.Host, URI: r.Uri, Header: header, Body: r.Body, Length: int64(len(r.Body)), Rule: rule,
		Domain: header.Get(steering.HeaderDomain), Deadline: deadline, Allowance: allowance(header),
	}
	request.Fingerprint = fingerprint(request)
	return request, true
}

func pathOf(uri string) string {
	u, err := url.ParseRequestURI(uri)
	if err != nil {
		return "/"
	}
	return u.Path
}

// reply turns a result into what goes back to the peer.
func reply(result steering.Result) *inner.PassReply {
	w := &replyWriter{header: http.Header{}}
	switch result := result.(type) {
	case *steering.Refusal:
		refuse(w, result)
	case *steering.Answer:
		defer result.Body.Close()
		w.header, w.status = result.Header, result.Status
		if result.Outcome != "" {
			w.header.Set(steering.HeaderOutcome, string(result.Outcome))
		}
		if _, err := w.body.ReadFrom(result.Body); err != nil {
			w = &replyWriter{header: http.Header{}}
			refuse(w, &steering.Refusal{Status: http.StatusBadGateway, Outcome: claim.Unknown, Reason: "AnswerCut"})
		}
	}
	return &inner.PassReply{Status: int32(w.status), Headers: toWireFields(headerFields(w.header)), Body: w.body.Bytes()}
}

// replyWriter collects a host's own answer.
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

// Seal implements inner.DRPCPeerServer.
func (p *peerServer) Seal(_ context.Context, r *inner.SealRequest) (*inner.SealReply, error) {
	entries, whole := p.host.parts.add(r)
	if !whole {
		return &inner.SealReply{}, nil
	}
	keep := time.Duration(r.RemainingMilliseconds) * time.Millisecond
	sealedAt := time.Duration(r.SealedAtMilliseconds) * time.Millisecond
	if !p.host.sealed.Put(p.host.now(), claim.Handover{Host: r.Host, Incarnation: r.Incarnation, SealedAt: sealedAt, Keep: keep, Entries: entries}) {
		return nil, inner.ErrPeerFailed.New("host %s has no room for the table of %s; the next holder is asked", p.host.Name(), r.Host)
	}
	return &inner.SealReply{}, nil
}
