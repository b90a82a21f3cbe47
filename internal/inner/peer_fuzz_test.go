package inner

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"briarcroft/internal/host"
	"briarcroft/internal/notice"
	"briarcroft/internal/placement"
	"briarcroft/internal/quarantine"
	"briarcroft/internal/ratelimit"

	"google.golang.org/protobuf/proto"
)

// FuzzPeerMessages feeds messages of peers to what handles them: odd numbers and parts that are missing must not end the host.
func FuzzPeerMessages(f *testing.F) {
	odd := math.Inf(1)
	for _, message := range []proto.Message{
		&PlaceCall{Number: 1, Service: "s", Ask: &PlaceAsk{}},
		&PlaceCall{Number: 1, Service: "s", Ask: &PlaceAsk{GoalMicroseconds: 1 << 20, DeadlineMicroseconds: 1 << 22, Repeatable: true, Probes: math.MaxUint32, AgeMicroseconds: math.MinInt64}},
		&PlaceCall{Number: 2, Service: "s", Ask: &PlaceAsk{GoalMicroseconds: math.MaxInt64, DeadlineMicroseconds: math.MinInt64, Priority: math.MaxUint32}},
		&PlaceCall{Number: 1, End: &RunEnd{Target: "t0", TookMicroseconds: math.MinInt64, Bytes: math.MaxUint32, Outcome: 99, RateLimit: &odd, Load: &TargetLoad{Running: math.MaxUint32, Pace: math.NaN()}, PauseMilliseconds: math.MaxInt64}},
		&PlaceCall{Number: 1, End: &RunEnd{Target: "t1", TookMicroseconds: math.MaxInt64, Load: &TargetLoad{Slots: math.MaxUint32, Pace: math.Inf(-1)}}},
		&HeartbeatRequest{Sender: "h1", Members: []*Member{{Name: "h1", Inner: "10.0.0.2:1", Incarnation: math.MaxUint64, Beat: math.MaxUint64, Note: math.MinInt64, AgeMilliseconds: math.MaxUint32, Wants: []*Want{{}}}}, Pulses: []*Pulse{{}}, Unknown: []uint32{7}, Views: []*DomainView{{Count: math.MaxUint32}}},
		&HeartbeatReply{RateLimits: []*RateLimit{{Target: "t0", PerSecond: math.NaN()}, {Target: "t0", PerSecond: -1, WarmUpLeftMilliseconds: math.MinInt64, AgeMilliseconds: math.MinInt64}},
			Notices: []*TargetNotice{{Target: "t0", PauseMilliseconds: math.MinInt64}}, Quarantines: []*Quarantine{{Fingerprint: 1, RemainingMilliseconds: math.MaxInt64}}},
		&QuotaRequest{Sender: "h1", Demands: []*QuotaDemand{{Used: math.NaN()}, {Account: "a", Wanted: math.Inf(1), Used: -1, Returned: math.NaN()}}},
		&QuotaReply{Holder: true, Grants: []*QuotaGrant{{Tokens: math.Inf(1)}, {Account: "a", Tokens: math.NaN(), WaitMicroseconds: math.MaxInt64}}},
		&PlaceVerdict{Kind: 99, RetryAfterMicroseconds: math.MinInt64},
		&FollowStoreReply{Part: []byte{1, 2, 3}},
	} {
		data, err := proto.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data)
	}
	f.Fuzz(func(_ *testing.T, first, second []byte) {
		r := newReceiver()
		for _, data := range [][]byte{first, second, first} {
			r.receive(data)
		}
	})
}

// receiver is what a host does with messages of peers.
type receiver struct {
	now         time.Duration
	home        *placement.Home
	members     *host.MemberTable
	rateLimits  *ratelimit.Table
	notices     *notice.Table
	quarantines *quarantine.List
}

func newReceiver() *receiver {
	r := &receiver{now: time.Hour, rateLimits: ratelimit.New(), notices: notice.New(), quarantines: quarantine.New(quarantine.Config{Targets: 3})}
	r.home = placement.New(placement.Config{
		Random: rand.New(rand.NewPCG(1, 1)), Budget: placement.RetryBudget{Ratio: 0.2, Window: 10 * time.Second, Slack: 10},
		Quarantine: r.quarantines, RateLimits: r.rateLimits, Notices: r.notices, OnVerdict: func(*placement.Request, placement.Verdict) {},
	})
	r.home.SetTargets(r.now, []placement.Target{{Name: "t0", Address: "10.0.0.1:80", Domain: "a", Slots: 3}, {Name: "t1", Address: "10.0.0.2:80", Domain: "b", Slots: 3}})
	for _, name := range []string{"t0", "t1"} {
		r.home.RecordProbe(r.now, name, placement.ProbeHealthy, &placement.LoadReport{Slots: 3, Pace: 1})
	}
	r.members = host.NewMemberTable(host.Config{Self: host.Member{Name: "h0", Inner: "10.0.0.1:1", Domain: "a", Incarnation: 1, Ready: true}})
	return r
}

// receive takes bytes for a message of each kind.
func (r *receiver) receive(data []byte) {
	var call PlaceCall
	if proto.Unmarshal(data, &call) == nil {
		id := placement.RequestID{Stream: 1, Number: call.Number}
		if call.Ask != nil {
			r.home.Submit(r.now, DecodePlaceAsk(r.now, id, call.Ask))
		}
		if call.End != nil {
			r.home.RunEnded(r.now, DecodeRunEnd(id, call.End))
		}
		for range 20 {
			r.now += 50 * time.Millisecond
			r.home.Tick(r.now)
			r.home.DueProbes(r.now)
		}
	}
	var heartbeat HeartbeatRequest
	if proto.Unmarshal(data, &heartbeat) == nil {
		HandleHeartbeat(r.members, r.now, &heartbeat)
		r.members.Live(r.now)
	}
	var reply HeartbeatReply
	if proto.Unmarshal(data, &reply) == nil {
		r.quarantines.Merge(r.now, DecodeQuarantines(reply.Quarantines))
		r.rateLimits.Merge(r.now, DecodeRateLimits(reply.RateLimits))
		r.rateLimits.MergeWarmUps(r.now, DecodeWarmUps(reply.RateLimits))
		r.notices.Merge(r.now, DecodeNotices(reply.Notices))
	}
	var demand QuotaRequest
	if proto.Unmarshal(data, &demand) == nil {
		DecodeQuotaRequest(&demand)
	}
	var grant QuotaReply
	if proto.Unmarshal(data, &grant) == nil {
		DecodeQuotaReply(&grant)
	}
	var verdict PlaceVerdict
	if proto.Unmarshal(data, &verdict) == nil {
		DecodeVerdict(&verdict)
	}
	var update FollowStoreReply
	if proto.Unmarshal(data, &update) == nil {
		// Parts that cannot be joined are an error.
		_, _ = new(UpdateJoiner).Add(&update)
	}
}
