package gateway

import "time"

// submissionAge returns how long ago the caller first sent the request; it is 0 without Overload.AgeOrder.
func (x *exchange) submissionAge() time.Duration {
	if !x.gateway.settings.Overload.AgeOrder {
		return 0
	}
	return x.age + x.gateway.now() - x.request.arrived
}
