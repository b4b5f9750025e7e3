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
	parts   []Part
	credits []int // by part; the part with the most credit gets the next request
}

// NewSplitter returns a Splitter whose routes all start a new round.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[mtid.Class]*splitState)} }

// Pick returns the service that receives the route's next request.
func (s *Splitter) Pick(r *Route) mtid.Service {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	state := s.state(r)
	total, best := 0, 0
	for i, p := range r.Parts {
		state.credits[i] += p.Weight
		total += p.Weight
		if state.credits[i] > state.credits[best] {
			best = i
		}
	}
	state.credits[best] -= total
	return r.Parts[best].Service
}

// state returns the state of the route, which starts over if the services or weights
// have changed.
func (s *Splitter) state(r *Route) *splitState {
	state, ok := s.routes[r.Name]
	if !ok || !equalParts(state.parts, r.Parts) {
		state = &splitState{parts: r.Parts, credits: make([]int, len(r.Parts))}
		s.routes[r.Name] = state
	}
	return state
}

// equalParts reports whether two routes split their requests in the same way.
func equalParts(a, b []Part) bool {
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
