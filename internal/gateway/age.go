package gateway

import (
	"time"

	"briarcroft/internal/note"
)

// submissionAge returns how long ago the caller first sent the request. It is 0 without Overload.AgeOrder and for a request that
// was new when it arrived, however long it has been on this host: its body may have been long, or a home has gone.
func (x *exchange) submissionAge() time.Duration {
	if x.age == 0 {
		return 0
	}
	return x.age + x.gateway.now() - x.request.arrived
}

// applyRule chooses the service of the request's rule and computes the latency goal, which counts from the caller's first attempt,
// and the deadline.
func (x *exchange) applyRule(rule note.Rule) {
	x.service = x.gateway.split.choose(rule)
	limit := rule.Deadline
	if limit == 0 {
		limit = defaultTimeout
	}
	if x.request.timeout > 0 {
		limit = min(limit, x.request.timeout)
	}
	x.deadline = x.request.arrived + limit
	x.goal = x.deadline
	if x.gateway.settings.Overload.AgeOrder {
		x.age = x.gateway.ages.Observe(x.gateway.now(), rule.Name, x.request.callerAddress, x.request.timeout)
	}
	if rule.Goal > 0 {
		x.goal = min(x.deadline, x.request.arrived-x.age+rule.Goal)
	}
}
