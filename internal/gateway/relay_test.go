package gateway

import (
	"io"
	"testing"
	"time"

	"briarcroft/internal/inner"

	"github.com/matryer/is"
)

// relayStream is a stream on which a peer has sent some replies and then ended it.
type relayStream struct {
	inner.DRPCPeer_RelayClient
	replies []*inner.RelayReply
}

func (s *relayStream) Recv() (*inner.RelayReply, error) {
	if len(s.replies) == 0 {
		return nil, io.EOF
	}
	reply := s.replies[0]
	s.replies = s.replies[1:]
	return reply, nil
}

func (s *relayStream) Close() error { return nil }

// TestEndedRelayStreamIsNoEndOfResponse guards against a response that a peer has relayed in part and that looks complete, because
// the peer ended the stream at its time limit.
func TestEndedRelayStreamIsNoEndOfResponse(t *testing.T) {
	part := &inner.RelayReply{Kind: inner.RelayKind_RelayPart, Body: []byte("part")}
	for _, c := range []struct {
		name    string
		replies []*inner.RelayReply
		err     error
	}{
		{"ended", []*inner.RelayReply{part}, io.ErrUnexpectedEOF},
		{"broken", []*inner.RelayReply{part, {Kind: inner.RelayKind_RelayBroke}}, io.ErrUnexpectedEOF},
		{"complete", []*inner.RelayReply{part, {Kind: inner.RelayKind_RelayEnd}}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			body := &relayedBody{stream: &relayStream{replies: c.replies}, left: -1, cancel: func() {}, silence: time.NewTimer(time.Hour)}
			content, err := io.ReadAll(body)
			is.Equal(string(content), "part")
			is.Equal(err, c.err)
			is.NoErr(body.Close())
		})
	}
}
