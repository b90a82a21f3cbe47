package gateway

import (
	"testing"
	"time"

	"briarcroft/internal/age"
	"briarcroft/internal/note"

	"github.com/matryer/is"
)

// TestGoalCountsFromFirstAttempt guards against a request that comes back after a refusal and gets the goal of a new one. Without
// AgeOrder nothing changes, also in what the home is sent.
func TestGoalCountsFromFirstAttempt(t *testing.T) {
	for _, ageOrder := range []bool{false, true} {
		is := is.New(t)
		g := &Gateway{start: time.Now(), ages: age.New()}
		g.settings.Overload.AgeOrder = ageOrder
		rule := note.Rule{Name: "r", Goal: 250 * time.Millisecond, Deadline: time.Second}
		arrive := func(caller string, left time.Duration) *exchange {
			x := &exchange{gateway: g, request: &request{arrived: g.now(), timeout: left, callerAddress: caller, method: "GET"}}
			x.applyRule(rule)
			return x
		}
		arrive("a", time.Second)
		arrive("b", time.Second)
		x := arrive("c", 700*time.Millisecond)
		want := time.Duration(0)
		if ageOrder {
			want = 300 * time.Millisecond
		}
		is.Equal(x.age, want)
		is.Equal(x.goal, x.request.arrived+rule.Goal-want)
		is.Equal(x.deadline, x.request.arrived+700*time.Millisecond)
		is.Equal(x.submissionAge() >= 300*time.Millisecond, ageOrder)
		is.Equal(arrive("d", time.Second).submissionAge(), time.Duration(0))
	}
}
