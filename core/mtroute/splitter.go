package mtroute

import "magnoliaturn/core/mtid"

// Splitter distributes the requests of routes among their services by smooth
// weighted round robin. After any number of requests each service is within one
// request of its share; random selection would be off by a tenth after a hundred.
// A request that a service has no capacity for is refused and never sent to
// another service, since operators rely on the weights that they set.
type Splitter struct {
	routes map[mtid.Class]*splitState
}

// splitState is the round-robin state of one route.
type splitState struct {
	targets []Target
	credits []int // by target; the target with the most credit gets the next request
}

// NewSplitter returns a Splitter whose routes all start a new round.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[mtid.Class]*splitState)} }

// Pick returns the service that receives the route's next request.
func (s *Splitter) Pick(r *Route) mtid.Service {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	state := s.state(r)
	total, best := 0, 0
	for i, target := range r.Targets {
		state.credits[i] += target.Weight
		total += target.Weight
		if state.credits[i] > state.credits[best] {
			best = i
		}
	}
	state.credits[best] -= total
	return r.Targets[best].Service
}

// state returns the state of the route, which starts over if the services or weights
// have changed.
func (s *Splitter) state(r *Route) *splitState {
	state, ok := s.routes[r.Name]
	if !ok || !equalTargets(state.targets, r.Targets) {
		state = &splitState{targets: r.Targets, credits: make([]int, len(r.Targets))}
		s.routes[r.Name] = state
	}
	return state
}

// equalTargets reports whether two routes split their requests in the same way.
func equalTargets(a, b []Target) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
