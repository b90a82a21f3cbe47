package entry

import (
	"context"
	"time"

	"briarcroft/internal/duty"
	"briarcroft/internal/host"
)

// demandEvery is how often the rates of the services are looked at.
const demandEvery = time.Second

// demandDuty asks for more homes for services whose rate here is more than one home carries well.
func (h *Host) demandDuty(ctx context.Context) {
	demand := host.NewHomeScaler()
	last := map[string]int64{}
	for duty.Sleep(ctx, demandEvery) {
		live := h.table.Live(h.now())
		for _, spec := range h.steering.Configuration().Services {
			service := h.steering.Services()[spec.Name]
			if service == nil {
				continue
			}
			requests := service.Requests()
			rate := float64(requests-last[spec.Name]) / demandEvery.Seconds()
			last[spec.Name] = requests
			demand.Observe(h.now(), spec.Name, rate, host.HomeCount(spec.Name, spec.Homes, live))
		}
		h.table.SetHomeDemands(demand.Demands())
	}
}
