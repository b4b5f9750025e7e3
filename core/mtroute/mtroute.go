// Package mtroute finds the route of a request by its host and path, and the
// service that the route leads to.
//
// A Config is what the operators have in force: routes, services and the limits
// of callers. Among the routes of a host the one with the longest prefix of the
// path holds. A route may be divided among services by weights; a Splitter
// keeps to them.
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

	"magnoliaturn/core/mtid"
)

// Part is a service that gets a share of a route's requests.
type Part struct {
	Service mtid.Service
	Weight  int
}

// Route says what becomes of the requests under a prefix of a host.
type Route struct {
	Name       mtid.Class
	Host       string
	Prefix     string // begins and ends with a slash
	Idempotent bool
	Timeout    time.Duration // longest time that a request may take
	Objective  time.Duration // time within which an answer is worth most
	Attempts   int           // most servers that one request is sent to
	Priority   int           // 0 is the most urgent
	Parts      []Part        // at least one
}

// usualPart is the part of a route's objective, one over it, that its calls are
// taken to run until some have ended: operators set objectives at about three
// times the usual time.
const usualPart = 3

// Usual returns how long a call of the route usually runs, as far as its objective
// tells.
func (r Route) Usual() time.Duration { return r.Objective / usualPart }

// Service is a group of backend servers of one kind.
type Service struct {
	Name        mtid.Service
	Health      string // path of the health check
	Connections int    // that one server takes
	Keyed       bool   // each key has one server
	// ColdRate is how many requests a second one server takes while it is cold; zero is
	// no limit.
	ColdRate float64
}

// Limits bound what a caller may send. Zero fields are no limit.
type Limits struct {
	Header int // bytes of a request's header
	Body   int // bytes of a request's body
}

// Config is one version of all that operators set. See the package comment.
type Config struct {
	Version  mtid.Version
	Limits   Limits
	Services map[mtid.Service]Service
	hosts    map[string][]Route // longest prefix first
}

// RouteError says that a route can't be served as it is declared.
type RouteError struct {
	Route  mtid.Class
	Reason string
}

// Error implements error.
func (e *RouteError) Error() string { return fmt.Sprintf("route %s: %s", e.Route, e.Reason) }

// New checks routes and services and returns the Config. It fails with a
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
		if err := c.check(r); err != nil {
			return nil, err
		}
		host := canonical(r.Host)
		c.hosts[host] = append(c.hosts[host], r)
	}
	for _, list := range c.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	return c, nil
}

// check returns what is wrong with a route, or nil.
func (c *Config) check(r Route) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &RouteError{Route: r.Name, Reason: fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix)}
	case r.Timeout <= 0:
		return &RouteError{Route: r.Name, Reason: "timeout is not above zero"}
	case len(r.Parts) == 0:
		return &RouteError{Route: r.Name, Reason: "leads to no service"}
	}
	for _, p := range r.Parts {
		if _, ok := c.Services[p.Service]; !ok {
			return &RouteError{Route: r.Name, Reason: fmt.Sprintf("service %q is not declared", p.Service)}
		}
		if p.Weight < 0 {
			return &RouteError{Route: r.Name, Reason: "a weight is below zero"}
		}
	}
	return nil
}

// Match returns the route of a path, which may carry a query. It is called for
// each request.
func (c *Config) Match(host, target string) (*Route, bool) {
	list := c.hosts[canonical(host)]
	path, _, _ := strings.Cut(target, "?")
	for i := range list {
		if strings.HasPrefix(path, list[i].Prefix) {
			return &list[i], true
		}
	}
	return nil, false
}

// Routes returns all routes, ordered by host and falling length of prefix.
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

// canonical returns a host name without port, in lower case.
func canonical(host string) string {
	if strings.Contains(host, ":") {
		if name, _, err := net.SplitHostPort(host); err == nil {
			host = name
		}
	}
	return strings.ToLower(host)
}
