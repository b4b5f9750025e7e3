package mtroute

import "magnoliaturn/core/mtid"

// Splitter divides the requests of routes among their parts by smooth weighted
// round robin. After any number of requests each part is within one request of
// its share; drawing at random would be off by a tenth after a hundred. What a
// part can't take is refused there and never moved to another: the weights are
// the operators' word.
type Splitter struct {
	routes map[mtid.Class]*split
}

// split is the state of one route.
type split struct {
	parts  []Part
	credit []int
}

// NewSplitter returns a Splitter that has divided nothing.
func NewSplitter() *Splitter { return &Splitter{routes: make(map[mtid.Class]*split)} }

// Pick returns the service that gets the route's next request.
func (s *Splitter) Pick(r *Route) mtid.Service {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	state := s.state(r)
	total, best := 0, 0
	for i, p := range r.Parts {
		state.credit[i] += p.Weight
		total += p.Weight
		if state.credit[i] > state.credit[best] {
			best = i
		}
	}
	state.credit[best] -= total
	return r.Parts[best].Service
}

// state returns the state of the route, begun anew if its parts have changed.
func (s *Splitter) state(r *Route) *split {
	state, ok := s.routes[r.Name]
	if !ok || !same(state.parts, r.Parts) {
		state = &split{parts: r.Parts, credit: make([]int, len(r.Parts))}
		s.routes[r.Name] = state
	}
	return state
}

// same reports whether two divisions are equal.
func same(a, b []Part) bool {
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
