package gateway

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"briarcroft/internal/notice"
	"briarcroft/internal/record"
)

// errBlocked reports that nothing was sent to a target because it has said that it wants no requests.
var errBlocked = namespace.NewType("blocked")

// malformedNoticesPerSecond limits the records about header fields that cannot be read.
const malformedNoticesPerSecond = 0.2

// noticeKey returns the key of a registered target, or false if it is not registered. Callers take it before they send a request,
// because the target's entry may be gone for a moment when the response arrives.
func (g *Gateway) noticeKey(target string) (notice.Key, bool) {
	t, found := g.findTarget(target)
	return notice.Key{Target: target, Incarnation: t.Incarnation}, found
}

// said returns what a registered target has said of itself to this host or others.
func (g *Gateway) said(target string) notice.State {
	k, found := g.noticeKey(target)
	if !found {
		return notice.State{}
	}
	return g.notices.State(k)
}

// noticeOf returns what is known of a target in the form of a response that says so now.
func (g *Gateway) noticeOf(k notice.Key) notice.Notice {
	s := g.notices.State(k)
	return notice.Notice{Leaving: s.Leaving, Pause: max(0, s.PausedUntil-g.now())}
}

// readNotice records what a target says of itself in the header of a response.
func (g *Gateway) readNotice(k notice.Key, status int, header http.Header) {
	n, malformed := g.parseNotice(status, header)
	if malformed != "" && g.malformedNotices.Allow() {
		g.records.Add(record.Record{Kind: record.TargetNotice, Target: k.Target, Cause: "Malformed", Note: g.chain.Number(), Evidence: record.Evidence{Detail: malformed}})
	}
	if g.notices.Record(g.now(), k, n) {
		g.recordNotice(k.Target, n, "")
	}
}

// parseNotice returns what a response header says, and a field that cannot be read. Of several values, the longest pause holds.
// A server that declines a request for another one says nothing about that one.
func (g *Gateway) parseNotice(status int, header http.Header) (n notice.Notice, malformed string) {
	if status == http.StatusMisdirectedRequest {
		return notice.Notice{}, ""
	}
	for _, value := range header.Values(g.dialect.LeavingHeader) {
		if strings.TrimSpace(value) == g.dialect.LeavingValue {
			n.Leaving = true
		} else {
			malformed = g.dialect.LeavingHeader + ": " + value
		}
	}
	if status != http.StatusServiceUnavailable {
		return n, malformed
	}
	for _, value := range header.Values(g.dialect.PauseHeader) {
		seconds, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
		if err != nil || math.IsNaN(seconds) || seconds < 0 {
			malformed = g.dialect.PauseHeader + ": " + value
			continue
		}
		if seconds > notice.MaxPause.Seconds() {
			seconds, malformed = notice.MaxPause.Seconds(), g.dialect.PauseHeader+": "+value
		}
		n.Pause = max(n.Pause, time.Duration(seconds*float64(time.Second)))
	}
	return n, malformed
}

// recordNotice records news of a target, which this host has learned from a peer or, if that is empty, from the target, and tells
// peers.
func (g *Gateway) recordNotice(target string, n notice.Notice, peer string) {
	r := record.Record{Kind: record.TargetNotice, Target: target, Note: g.chain.Number(), Evidence: record.Evidence{Peer: peer}}
	if n.Leaving {
		r.Cause = "Leaving"
		g.records.Add(r)
	}
	if n.Pause > 0 {
		r.Cause, r.Evidence.Detail = "Pause", n.Pause.String()
		g.records.Add(r)
	}
	g.stats.notices.Add(1)
	if peer == "" {
		g.heartbeatTrigger.Push(struct{}{})
	}
}
