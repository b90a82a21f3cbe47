package model

// directBalancer runs LeastInFlight and AtRandom.
type directBalancer struct {
	sim *simulation
	// inFlight holds the number of requests in flight, by host and then by server. It is empty for AtRandom.
	inFlight [][]int
}

func newDirectBalancer(s *simulation, hosts int) *directBalancer {
	b := &directBalancer{sim: s}
	for range hosts {
		b.inFlight = append(b.inFlight, make([]int, len(s.servers)))
	}
	return b
}

func (b *directBalancer) submit(j *job) {
	index, release := b.chooseServer()
	server := b.sim.servers[index]
	b.sim.schedule(b.sim.workload.NetworkDelay, func() {
		accepted := server.accept(&run{job: j, onResponse: func(bool) {
			b.sim.schedule(b.sim.workload.NetworkDelay, func() {
				release()
				b.sim.recordResponse(j)
			})
		}})
		if !accepted {
			release()
			b.sim.recordRefusal(j, 0)
		}
	})
}

// chooseServer returns the index of the server for a request, and a function to call once the request has ended. For
// AtRandom it is a random server, for LeastInFlight the one with the fewest requests in flight, ties being broken at
// random.
func (b *directBalancer) chooseServer() (int, func()) {
	first := b.sim.random.IntN(len(b.sim.servers))
	if len(b.inFlight) == 0 {
		return first, func() {}
	}
	inFlight := b.inFlight[b.sim.random.IntN(len(b.inFlight))]
	best := first
	for i := range inFlight {
		if n := (first + i) % len(inFlight); inFlight[n] < inFlight[best] {
			best = n
		}
	}
	inFlight[best]++
	return best, func() { inFlight[best]-- }
}
