package entry

import (
	"context"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/host"
)

// demandInterval is the period over which the request rate of each service is measured.
const demandInterval = time.Second

// demandLoop measures the request rate of each service on this host and announces in the membership how many homes
// a service needs when its rate is too high for the present number.
func (h *Host) demandLoop(ctx context.Context) {
	demand := host.NewHomeScaler()
	last := map[string]int64{}
	for duty.Sleep(ctx, demandInterval) {
		live := h.membership.Live(h.now())
		for _, spec := range h.dispatcher.Configuration().Services {
			service := h.dispatcher.Services()[spec.Name]
			if service == nil {
				continue
			}
			requests := service.RequestCount()
			rate := float64(requests-last[spec.Name]) / demandInterval.Seconds()
			last[spec.Name] = requests
			demand.Observe(h.now(), spec.Name, rate, host.HomeCount(spec.Name, spec.Homes, live))
		}
		h.membership.SetHomeDemands(demand.Demands())
	}
}
