// Package mtroute matches a request to a route by host and path, and picks the
// service that the route sends the request to.
//
// A Config holds the operators' configuration: routes, services and the limits
// of callers. Among the routes of a host, the longest matching prefix wins. A
// route may split its requests among services by weight; a Splitter does so.
//
// # Usage
//
//	config, err := mtroute.New(version, routes, services, limits)
//	route, ok := config.Match("maps.example", "/plans/7")
//	service := splitter.Pick(route)
//
// A Config is immutable and safe for concurrent use; a Splitter isn't.
package mtroute

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
)

// Target is a service that receives a share of a route's requests, proportional to
// its weight.
type Target struct {
	Service mtid.Service
	Weight  int
}

// Route configures how requests under a path prefix of a host are handled.
type Route struct {
	Name        mtid.Class
	Host        string
	Prefix      string // begins and ends with a slash
	Idempotent  bool
	Timeout     time.Duration // upper bound of the time that a request may take
	Objective   time.Duration // latency objective: time within which an answer is worth most; none if not positive
	MaxAttempts int           // maximum number of servers that one request is sent to
	Priority    int           // 0 is the most urgent
	Targets     []Target      // at least one
}

// objectiveFactor is the ratio of a route's objective to the expected duration of
// its calls: operators set objectives at about three times the usual duration.
const objectiveFactor = 3

// ExpectedDuration estimates the duration of a call of the route from its
// objective. The estimate is used until some calls have ended and their duration
// is measured.
func (r Route) ExpectedDuration() time.Duration { return max(r.Objective, 0) / objectiveFactor }

// ObjectiveAt returns when a call of the route that arrives now is to be answered, or zero if
// the route has no objective, or one beyond the range of instants.
func (r Route) ObjectiveAt(now mtclock.Instant) mtclock.Instant {
	if at := now.Add(r.Objective); at.After(now) {
		return at
	}
	return 0
}

// Service is a group of backend servers of one kind.
type Service struct {
	Name           mtid.Service
	HealthPath     string // path of the health check
	MaxConnections int    // maximum number of connections to one server
	Keyed          bool   // each key is owned by one server
	// ColdRate limits the requests per second to one server while it is cold; zero means
	// no limit.
	ColdRate float64
}

// Limits bounds the size of a caller's requests. A zero field means no limit.
type Limits struct {
	HeaderBytes int // bytes of a request header
	BodyBytes   int // bytes of a request body
}

// Config is one version of the operators' configuration. See the package comment.
type Config struct {
	Version  mtid.Version
	Limits   Limits
	Services map[mtid.Service]Service
	hosts    map[string][]Route // longest prefix first
}

// RouteError reports a route whose declaration is invalid.
type RouteError struct {
	Route  mtid.Class
	Reason string
}

// Error implements error.
func (e *RouteError) Error() string { return fmt.Sprintf("route %s: %s", e.Route, e.Reason) }

// New validates routes and services and returns the Config. It fails with a
// *RouteError.
func New(version mtid.Version, routes []Route, services []Service, limits Limits) (*Config, error) {
	c := &Config{
		Version:  version,
		Limits:   limits,
		Services: make(map[mtid.Service]Service, len(services)),
		hosts:    make(map[string][]Route),
	}
	for _, s := range services {
		c.Services[s.Name] = s
	}
	for _, r := range routes {
		if err := c.validate(r); err != nil {
			return nil, err
		}
		host := canonicalHost(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, nil
}

// validate returns a *RouteError if a route is invalid, or nil.
func (c *Config) validate(r Route) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &RouteError{Route: r.Name, Reason: fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix)}
	case r.Timeout <= 0:
		return &RouteError{Route: r.Name, Reason: fmt.Sprintf("timeout %s is not positive", r.Timeout)}
	case len(r.Targets) == 0:
		return &RouteError{Route: r.Name, Reason: "no service is declared for the route"}
	}
	for _, target := range r.Targets {
		if _, ok := c.Services[target.Service]; !ok {
			return &RouteError{Route: r.Name, Reason: fmt.Sprintf("service %q is not declared", target.Service)}
		}
		if target.Weight < 0 {
			return &RouteError{Route: r.Name, Reason: fmt.Sprintf("weight %d of service %q is negative", target.Weight, target.Service)}
		}
	}
	return nil
}

// Match returns the route of a request by its Host header and its request target,
// a path with an optional query. It is called for each request.
func (c *Config) Match(host, requestTarget string) (*Route, bool) {
	list := c.hosts[canonicalHost(host)]
	path, _, _ := strings.Cut(requestTarget, "?")
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i], true
		}
	}
	return nil, false
}

// Routes returns all routes, ordered by host and then by descending prefix length.
func (c *Config) Routes() []Route {
	var all []Route
	for _, list := range c.hosts {
		all = append(all, list...)
	}
	slices.SortStableFunc(all, func(a, b Route) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Prefix, b.Prefix))
	})
	return all
}

// LongestTimeout returns the longest timeout of the routes that send requests to a service.
func (c *Config) LongestTimeout(service mtid.Service) time.Duration {
	var longest time.Duration
	for _, routes := range c.hosts {
		for _, r := range routes {
			if r.leadsTo(service) {
				longest = max(longest, r.Timeout)
			}
		}
	}
	return longest
}

// leadsTo reports whether the route may send requests to a service.
func (r Route) leadsTo(service mtid.Service) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service && t.Weight > 0 })
}

// canonicalHost returns a host name without port, in lower case.
func canonicalHost(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
