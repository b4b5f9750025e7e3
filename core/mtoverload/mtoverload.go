// Package mtoverload names the policies for overload that a deployment's settings switch
// on. With all of them off, each gate admits requests by the room of its own server
// alone.
//
// A policy that is on acts only where the operators' configuration gives it something to
// decide by; each field says what.
//
// # Usage
//
//	host, cleanUp := mthost.New(mthost.Config{Overload: mtoverload.Policies{Reserve: true}, ...})
package mtoverload

// Policies are the policies for overload that are switched on. The zero value has none.
type Policies struct {
	// Link sends a body over a slow link only if that has room for it. It acts where a body
	// takes long at the bandwidth of a VM's link.
	Link bool
	// Reserve keeps slots free for more urgent requests. It acts where routes to one
	// service have different priorities.
	Reserve bool
	// Room lets calls that would wait at a full server search for one with room. It acts on
	// routes with a latency objective to services that aren't divided by key.
	Room bool
	// Slow counts all work that is offered to a slow server, so that its keys move to
	// faster ones. It acts on routes with a latency objective to services that are divided
	// by key.
	Slow bool
	// Linger keeps a server at work while its daemon shuts down, for as long as that cuts
	// nothing off. It acts where the calls that the routes' timeouts allow fit into the
	// grace period.
	Linger bool
	// Retries makes retries follow the operators' limits for all daemons together. It acts
	// where the settings name these.
	Retries bool
}
