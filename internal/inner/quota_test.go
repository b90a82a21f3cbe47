package inner

import (
	"math"
	"testing"
	"time"

	"briarcroft/internal/quota"

	"github.com/matryer/is"
)

// TestQuotaMessages guards against values that get lost between hosts, votes taken for grants, and terms that are no numbers.
func TestQuotaMessages(t *testing.T) {
	is := is.New(t)
	request := quota.Request{Sender: "h", Incarnation: 1, Sequence: 2, Term: 1<<52 - 1, Demands: []quota.Demand{{Account: "a", Wanted: 3, Used: 4, Returned: 5}}}
	is.Equal(DecodeQuotaRequest(EncodeQuotaRequest(request)), request)
	is.True(!IsVoteRequest(EncodeQuotaRequest(quota.Request{Sender: "h"})))
	is.True(IsVoteRequest(EncodeVoteRequest("h", 1)))
	reply := quota.Reply{Term: 7, Grants: []quota.Grant{{Account: "a", Tokens: 3, Wait: time.Second}}}
	wire := EncodeQuotaReply(reply, true)
	decoded, holding := DecodeQuotaReply(wire)
	is.True(holding)
	is.Equal(decoded, reply)
	is.True(!IsVote(wire) && !IsVote(EncodeQuotaReply(reply, false)) && !IsVote(EncodeVote(false)) && IsVote(EncodeVote(true)))
	wire.LifetimeMicroseconds--
	decoded, _ = DecodeQuotaReply(wire)
	is.Equal(len(decoded.Grants), 0)
	for _, odd := range []float64{math.NaN(), math.Inf(1), -1, 0.5} {
		is.Equal(decodeTerm(odd), uint64(0))
	}
}
