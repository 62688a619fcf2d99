// Package bundle holds the operators' configuration of a site: workspaces, keys, rates,
// priorities, services and routes, as one immutable version.
//
// # Usage
//
//	b, err := bundle.Parse(source)        // strict; JSON with comments
//	faults := b.Check()                   // every fault, not just the first
//	index := bundle.NewIndex(b)           // look-ups for the request path
//	workspace, ok := index.WorkspaceOf(key)
//
// A bundle contains only the hashes of keys. A node never modifies a bundle; it replaces
// its index with that of a higher version.
package bundle

import (
	"auburngap/request"
)

// Bundle is one version of the operators' configuration.
type Bundle struct {
	// Version is assigned by the rollout and only grows.
	Version uint64 `json:"version"`
	// SignOffs is the number of operators who must sign the next version.
	SignOffs int `json:"signOffs"`
	// Operators may sign off the next version.
	Operators []Operator `json:"operators"`
	// Zones are the availability zones of the site.
	Zones []Zone `json:"zones"`
	// Workspaces are the tenants.
	Workspaces []Workspace `json:"workspaces"`
	// Keyless is set if there are no workspaces because callers need none: requests need no
	// key. It is no part of a signed bundle.
	Keyless bool `json:"-"`
	// Services are the groups of backend servers and what they may call.
	Services []Service `json:"services"`
	// Routes map callers' requests to services.
	Routes []Route `json:"routes"`
	// Policy holds settings that differ between sites.
	Policy Policy `json:"policy"`
}

// Operator is a person who may sign off bundles.
type Operator struct {
	Name string `json:"name"`
	// PublicKey is an Ed25519 key, base64.
	PublicKey string `json:"publicKey"`
}

// Zone is an availability zone.
type Zone struct {
	Name   string `json:"name"`
	Region string `json:"region"`
	// Shards is the number of ownership shards. It does not change with the number of
	// nodes.
	Shards int `json:"shards"`
}

// Workspace is a tenant with its keys, its rate and its share of saturated services.
type Workspace struct {
	Name string `json:"name"`
	Keys []Key  `json:"keys"`
	// Rate is in requests per second over all VMs together.
	Rate float64 `json:"rate"`
	// Burst is in requests over all VMs together.
	Burst float64 `json:"burst"`
	// Rank is added to the priorities of the workspace's requests; the sum is limited to
	// the last priority.
	Rank request.Priority `json:"rank,omitempty"`
	// Weight is the share of a saturated service within one priority.
	Weight float64 `json:"weight"`
	// ZoneShares splits rate and burst over the availability zones; the shares add up to
	// 1. If it is empty, the split is even.
	ZoneShares map[string]float64 `json:"zoneShares,omitempty"`
	// RefuseWhenOlder makes a node refuse the workspace's requests if the node has had no
	// confirmation of the active bundle for longer than this. Zero means no limit.
	RefuseWhenOlder Duration `json:"refuseWhenOlder,omitempty"`
}

// Key is a caller's key. Only its hash is stored.
type Key struct {
	ID string `json:"id"`
	// Hash is the SHA-256 of the key, base64.
	Hash string `json:"hash"`
	// Withdrawn keys stay in the bundle so that logs can distinguish them from unknown
	// keys.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Service is a group of backend servers that do the same work.
type Service struct {
	Name string `json:"name"`
	// Calls lists the services that this one may call.
	Calls []string `json:"calls,omitempty"`
	// Slots is the usual number of requests that one backend server processes
	// concurrently.
	Slots int `json:"slots"`
	// Connections is the maximum number of connections that one backend server accepts.
	Connections int `json:"connections"`
	// Timeout limits one call to this service.
	Timeout Duration `json:"timeout,omitempty"`
}

// Route maps callers' requests to a service.
type Route struct {
	Name string `json:"name"`
	// Methods lists the HTTP methods; empty means all.
	Methods []string `json:"methods,omitempty"`
	// Host is the Host header that requests must have; empty means any.
	Host string `json:"host,omitempty"`
	// Prefix is matched against the path; the longest matching prefix wins.
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	// Split distributes the requests over several services, instead of Service.
	Split []WeightedService `json:"split,omitempty"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// Workspaces lists the workspaces that may use the route; empty means all.
	Workspaces []string         `json:"workspaces,omitempty"`
	Priority   request.Priority `json:"priority"`
	// Commitment marks requests that must be executed at most once and need an
	// Idempotency-Key.
	Commitment bool `json:"commitment,omitempty"`
	// Idempotent marks requests that may be retried after an unknown outcome.
	Idempotent bool `json:"idempotent,omitempty"`
	// Timeout limits the whole customer request.
	Timeout Duration `json:"timeout"`
	// Objective is the latency up to which an answer has its full value for the caller;
	// zero means unknown.
	Objective Duration `json:"objective,omitempty"`
	// RetryBudget is the number of retries over the whole call chain.
	RetryBudget int `json:"retryBudget"`
}

// WeightedService is one of the services over which a route's requests are distributed.
type WeightedService struct {
	Service string `json:"service"`
	// Weight is relative to the weights of the route's other services.
	Weight float64 `json:"weight"`
}

// Policy holds settings that each site chooses according to its own priorities.
type Policy struct {
	// AdmissionMargin is the rate that entry nodes admit, relative to what a service can
	// serve; zero means the default of 1.1. A higher margin keeps short queues fuller; a
	// lower one wastes less work in deep call chains.
	AdmissionMargin float64 `json:"admissionMargin,omitempty"`
}
