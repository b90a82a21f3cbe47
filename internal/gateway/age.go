package gateway

import "time"

// submissionAge returns how long ago the caller first sent the request. It is 0 without Overload.AgeOrder and for a request that
// was new when it arrived, however long it has been on this host: its body may have been long, or a home has gone.
func (x *exchange) submissionAge() time.Duration {
	if x.age == 0 {
		return 0
	}
	return x.age + x.gateway.now() - x.request.arrived
}
