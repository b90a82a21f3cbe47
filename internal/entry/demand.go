package entry

import (
	"context"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/host"
)

// demandInterval is how often the rates of the services are looked at.
const demandInterval = time.Second

// demandLoop asks for more homes for services whose rate here is more than one home carries well.
func (h *Host) demandLoop(ctx context.Context) {
	demand := host.NewDemand()
	last := map[string]int64{}
	for duty.Sleep(ctx, demandInterval) {
		live := h.table.Live(h.now())
		for _, spec := range h.dispatcher.Configuration().Services {
			service := h.dispatcher.Services()[spec.Name]
			if service == nil {
				continue
			}
			requests := service.Requests()
			rate := float64(requests-last[spec.Name]) / demandInterval.Seconds()
			last[spec.Name] = requests
			demand.Observe(h.now(), spec.Name, rate, host.Wanted(spec.Name, spec.Homes, live))
		}
		h.table.SetWants(demand.Wants())
	}
}
