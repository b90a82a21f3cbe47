package inner

import (
	"context"
	"strings"
	"sync/atomic"

	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
)

// Kinds of traffic between entry hosts that Traffic tells apart.
const (
	trafficHeartbeats = iota
	trafficPlacement
	trafficStoreChanges
	trafficRelays
	trafficOther
	// trafficConnections is all of the above with what connections add to it: framing, names of calls and TLS.
	trafficConnections
	trafficKinds
)

var trafficNames = [trafficKinds]string{"Heartbeats", "Placement", "StoreChanges", "Relays", "Other", "Connections"}

// trafficKind returns the kind of a call, whose name has the form /package.Service/Method.
func trafficKind(rpc string) int {
	switch rpc[strings.LastIndexByte(rpc, '/')+1:] {
	case "Heartbeat":
		return trafficHeartbeats
	case "Place":
		return trafficPlacement
	case "FollowStore":
		return trafficStoreChanges
	case "Relay":
		return trafficRelays
	}
	return trafficOther
}

// TrafficCount is the traffic of one kind on the connections that a host has opened to peers of its own failure domain or, if
// OtherDomain is set, of others. The sum over all hosts counts each byte between them once.
type TrafficCount struct {
	Kind        string
	OtherDomain bool
	// Messages counts those of both directions; Sent and Received are in bytes.
	Messages, Sent, Received int64
}

// trafficCounter holds the counts of one kind.
type trafficCounter struct{ messages, sent, received atomic.Int64 }

// traffic holds the counts of one client, by whether the peer is in another failure domain.
type traffic [2][trafficKinds]trafficCounter

// Traffic returns the traffic with peers since the client was created, in a fixed order.
func (c *Client) Traffic() []TrafficCount {
	counts := make([]TrafficCount, 0, 2*trafficKinds)
	for i := range c.traffic {
		for kind := range c.traffic[i] {
			t := &c.traffic[i][kind]
			counts = append(counts, TrafficCount{trafficNames[kind], i == 1, t.messages.Load(), t.sent.Load(), t.received.Load()})
		}
	}
	return counts
}

// trafficWith returns the counters for a peer.
func (c *Client) trafficWith(address string) *[trafficKinds]trafficCounter {
	if c.config.OtherDomain != nil && c.config.OtherDomain(address) {
		return &c.traffic[1]
	}
	return &c.traffic[0]
}

// meteredConn counts the messages of the calls over a connection.
type meteredConn struct {
	drpc.Conn
	counters *[trafficKinds]trafficCounter
}

// Invoke implements drpc.Conn.
func (c meteredConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return c.Conn.Invoke(ctx, rpc, meteredEncoding{enc, &c.counters[trafficKind(rpc)]}, in, out)
}

// NewStream implements drpc.Conn.
func (c meteredConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	stream, err := c.Conn.NewStream(ctx, rpc, enc)
	if err != nil {
		return nil, err
	}
	return meteredStream{stream, &c.counters[trafficKind(rpc)]}, nil
}

// meteredStream counts the messages of a stream.
type meteredStream struct {
	drpc.Stream
	counter *trafficCounter
}

// MsgSend implements drpc.Stream.
func (s meteredStream) MsgSend(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(m, meteredEncoding{enc, s.counter})
}

// MsgRecv implements drpc.Stream.
func (s meteredStream) MsgRecv(m drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgRecv(m, meteredEncoding{enc, s.counter})
}

// meteredEncoding counts the bytes of messages.
type meteredEncoding struct {
	drpc.Encoding
	counter *trafficCounter
}

// MarshalAppend appends an encoded message to a buffer. Without it drpc would encode into a buffer of its own and copy.
func (e meteredEncoding) MarshalAppend(buffer []byte, m drpc.Message) ([]byte, error) {
	encoded, err := drpcenc.MarshalAppend(m, e.Encoding, buffer)
	e.counter.messages.Add(1)
	e.counter.sent.Add(int64(len(encoded) - len(buffer)))
	return encoded, err
}

// Unmarshal implements drpc.Encoding.
func (e meteredEncoding) Unmarshal(encoded []byte, m drpc.Message) error {
	e.counter.messages.Add(1)
	e.counter.received.Add(int64(len(encoded)))
	return e.Encoding.Unmarshal(encoded, m)
}
