package bundle

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strings"
)

// Index provides the look-ups that the request path needs, for one bundle. It is
// immutable, so it may be read without locks; the indexes of successive versions share
// unchanged parts.
type Index struct {
	// Bundle is the bundle that the index was built from.
	Bundle *Bundle

	keys keyTable
	// The following map names or prefixes to positions in the bundle's lists.
	workspacesByName map[string]int32
	servicesByName   map[string]int32
	zonesByName      map[string]int32
	routesByName     map[string]int32
	routesByPrefix   prefixTable
}

// NewIndex returns the index of a bundle for which Check has found no faults.
func NewIndex(b *Bundle) *Index {
	return &Index{
		Bundle:           b,
		keys:             newKeyTable(b.Workspaces),
		workspacesByName: positions(b.Workspaces),
		servicesByName:   positions(b.Services),
		zonesByName:      positions(b.Zones),
		routesByName:     positions(b.Routes),
		routesByPrefix:   newPrefixTable(b.Routes),
	}
}

// Next returns the index of a later version. The result equals that of NewIndex, but
// shares the unchanged parts with x. x may be nil.
func (x *Index) Next(b *Bundle) *Index {
	if x == nil {
		return NewIndex(b)
	}
	next := *x
	next.Bundle = b
	next.zonesByName = positions(b.Zones)
	if sameNames(x.Bundle.Workspaces, b.Workspaces) {
		next.keys = x.keys.next(x.Bundle.Workspaces, b.Workspaces)
	} else {
		next.workspacesByName, next.keys = positions(b.Workspaces), newKeyTable(b.Workspaces)
	}
	if !sameNames(x.Bundle.Services, b.Services) {
		next.servicesByName = positions(b.Services)
	}
	if !sameNames(x.Bundle.Routes, b.Routes) {
		next.routesByName, next.routesByPrefix = positions(b.Routes), newPrefixTable(b.Routes)
	} else if !sameHostsAndPrefixes(x.Bundle.Routes, b.Routes) {
		next.routesByPrefix = newPrefixTable(b.Routes)
	}
	return &next
}

// positions returns the position of each name in a list.
func positions[T named](items []T) map[string]int32 {
	table := make(map[string]int32, len(items))
	for i, item := range items {
		table[item.name()] = int32(i)
	}
	return table
}

// sameSlice reports whether two slices are the same slice of the same array.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// sameNames reports whether two lists have the same names in the same order.
func sameNames[T named](a, b []T) bool {
	return sameSlice(a, b) || slices.EqualFunc(a, b, func(x, y T) bool { return x.name() == y.name() })
}

func sameHostsAndPrefixes(a, b []Route) bool {
	return sameSlice(a, b) || slices.EqualFunc(a, b, func(x, y Route) bool { return x.Prefix == y.Prefix && x.Host == y.Host })
}

// prefixTable holds the positions of routes by host and prefix.
type prefixTable struct {
	routes map[string][]int32
	// longestPrefix is the length of the longestPrefix prefix. Longer parts of a path need no look-up.
	longestPrefix int
}

func newPrefixTable(routes []Route) prefixTable {
	table := prefixTable{routes: make(map[string][]int32, len(routes))}
	for i := range routes {
		prefix := routes[i].Prefix
		hostAndPrefix := routes[i].Host + prefix
		table.routes[hostAndPrefix] = append(table.routes[hostAndPrefix], int32(i))
		table.longestPrefix = max(table.longestPrefix, len(prefix))
	}
	return table
}

// HashKey returns the hash of a key in the form that bundles contain.
func HashKey(key []byte) string {
	sum := sha256.Sum256(key)
	return base64.StdEncoding.EncodeToString(sum[:])
}

// WorkspaceOf returns the workspace of a caller's key, or false if the key is unknown or
// withdrawn.
func (x *Index) WorkspaceOf(key []byte) (*Workspace, bool) {
	entry, ok := x.keys.entries[sha256.Sum256(key)]
	if !ok || entry.withdrawn {
		return nil, false
	}
	return &x.Bundle.Workspaces[entry.workspace], true
}

// Workspace returns a workspace by name.
func (x *Index) Workspace(name string) (*Workspace, bool) {
	return lookUp(x.Bundle.Workspaces, x.workspacesByName, name)
}

// Service returns a service by name.
func (x *Index) Service(name string) (*Service, bool) {
	return lookUp(x.Bundle.Services, x.servicesByName, name)
}

// Zone returns an availability zone by name.
func (x *Index) Zone(name string) (*Zone, bool) {
	return lookUp(x.Bundle.Zones, x.zonesByName, name)
}

// Route returns a route by name.
func (x *Index) Route(name string) (*Route, bool) {
	return lookUp(x.Bundle.Routes, x.routesByName, name)
}

// lookUp returns the item with a name.
func lookUp[T any](items []T, table map[string]int32, name string) (*T, bool) {
	position, ok := table[name]
	if !ok {
		return nil, false
	}
	return &items[position], true
}

// MatchHost returns the route of a caller's request. Routes of the request's host take
// precedence; otherwise it matches the routes without a host, as Match does.
func (x *Index) MatchHost(host, method, path string) (*Route, bool) {
	if route, ok := x.match(host, method, path); ok || host == "" {
		return route, ok
	}
	return x.match("", method, path)
}

// Match returns the route of a caller's request: the one with the longest prefix that ends
// at a path segment and allows the method. Its time grows with the number of segments of
// the path, not with the number of routes. Routes that require a host are not considered.
func (x *Index) Match(method, path string) (*Route, bool) {
	return x.match("", method, path)
}

func (x *Index) match(host, method, path string) (*Route, bool) {
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end], '/') {
		if end < len(path) {
			if route, ok := x.matchExact(host, method, path[:end+1]); ok { // including the trailing slash
				return route, true
			}
		}
		if route, ok := x.matchExact(host, method, path[:end]); ok {
			return route, true
		}
	}
	if path == "" {
		return nil, false
	}
	return x.matchExact(host, method, path[:1])
}

// matchExact returns the route of exactly this host and prefix.
func (x *Index) matchExact(host, method, prefix string) (*Route, bool) {
	if len(prefix) > x.routesByPrefix.longestPrefix {
		return nil, false
	}
	// A host contains no slash and a prefix begins with one, so their concatenation is
	// unambiguous.
	for _, position := range x.routesByPrefix.routes[host+prefix] {
		route := &x.Bundle.Routes[position]
		if len(route.Methods) == 0 || slices.Contains(route.Methods, method) {
			return route, true
		}
	}
	return nil, false
}

// Allows reports whether a workspace may use the route.
func (r *Route) Allows(workspace string) bool {
	return len(r.Workspaces) == 0 || slices.Contains(r.Workspaces, workspace)
}

// MayCall reports whether the service may call the other one.
func (s *Service) MayCall(other string) bool {
	return slices.Contains(s.Calls, other)
}

// ZoneShare returns the fraction, from 0 to 1, of the workspace's rate and burst that
// accrues in an availability zone.
func (x *Index) ZoneShare(w *Workspace, zone string) float64 {
	if len(w.ZoneShares) > 0 {
		return w.ZoneShares[zone]
	}
	if _, ok := x.zonesByName[zone]; !ok {
		return 0
	}
	return 1 / float64(len(x.zonesByName))
}

// ReachableServices returns a service and all services that a call to it may reach.
func (x *Index) ReachableServices(service string) []string {
	path := []string{service}
	for i := 0; i < len(path); i++ {
		s, ok := x.Service(path[i])
		if !ok {
			continue
		}
		for _, next := range s.Calls {
			if !slices.Contains(path, next) {
				path = append(path, next)
			}
		}
	}
	return path
}

// ZoneNames returns the names of the availability zones.
func (x *Index) ZoneNames() []string {
	names := make([]string, len(x.Bundle.Zones))
	for i, zone := range x.Bundle.Zones {
		names[i] = zone.Name
	}
	return names
}

// ChooseService returns the service for one request. random is a random number from 0 to
// 1; it distributes the requests of a split route by the weights of its services.
func (r *Route) ChooseService(random float64) string {
	total := 0.0
	for _, part := range r.Split {
		total += part.Weight
	}
	remaining := random * total
	for _, part := range r.Split {
		if remaining < part.Weight {
			return part.Service
		}
		remaining -= part.Weight
	}
	if len(r.Split) > 0 {
		return r.Split[len(r.Split)-1].Service
	}
	return r.Service
}
