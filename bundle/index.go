package bundle

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strings"
)

// Index answers the request path's questions about one bundle. It is never
// changed after NewIndex, so it may be read without locks.
type Index struct {
	// Bundle is the version that the index was made from.
	Bundle *Bundle

	keys       map[[sha256.Size]byte]keyEntry
	workspaces map[string]*Workspace
	services   map[string]*Service
	zones      map[string]*Zone
	byName     map[string]*Route
	byPrefix   map[string][]*Route
	// longestPrefix bounds the look-ups of long paths.
	longestPrefix int
}

type keyEntry struct {
	workspace *Workspace
	withdrawn bool
}

// NewIndex returns the index of a bundle that Check has found no fault in.
func NewIndex(b *Bundle) *Index {
	index := &Index{
		Bundle:     b,
		keys:       make(map[[sha256.Size]byte]keyEntry),
		workspaces: make(map[string]*Workspace),
		services:   make(map[string]*Service),
		zones:      make(map[string]*Zone),
		byName:     make(map[string]*Route),
		byPrefix:   make(map[string][]*Route),
	}
	for i := range b.Workspaces {
		index.addWorkspace(&b.Workspaces[i])
	}
	for i := range b.Services {
		index.services[b.Services[i].Name] = &b.Services[i]
	}
	for i := range b.Zones {
		index.zones[b.Zones[i].Name] = &b.Zones[i]
	}
	for i := range b.Routes {
		index.addRoute(&b.Routes[i])
	}
	return index
}

func (x *Index) addRoute(route *Route) {
	x.byName[route.Name] = route
	x.byPrefix[route.Prefix] = append(x.byPrefix[route.Prefix], route)
	x.longestPrefix = max(x.longestPrefix, len(route.Prefix))
}

func (x *Index) addWorkspace(w *Workspace) {
	x.workspaces[w.Name] = w
	for _, key := range w.Keys {
		decoded, err := base64.StdEncoding.DecodeString(key.Hash)
		if err != nil || len(decoded) != sha256.Size {
			continue
		}
		x.keys[[sha256.Size]byte(decoded)] = keyEntry{workspace: w, withdrawn: key.Withdrawn}
	}
}

// HashKey returns the form in which bundles hold a key.
func HashKey(key []byte) string {
	sum := sha256.Sum256(key)
	return base64.StdEncoding.EncodeToString(sum[:])
}

// WorkspaceOf returns the workspace of a caller's key; false where the key is
// unknown or withdrawn.
func (x *Index) WorkspaceOf(key []byte) (*Workspace, bool) {
	entry, ok := x.keys[sha256.Sum256(key)]
	if !ok || entry.withdrawn {
		return nil, false
	}
	return entry.workspace, true
}

// Workspace returns a workspace by name.
func (x *Index) Workspace(name string) (*Workspace, bool) {
	w, ok := x.workspaces[name]
	return w, ok
}

// Service returns a service by name.
func (x *Index) Service(name string) (*Service, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Zone returns an availability zone by name.
func (x *Index) Zone(name string) (*Zone, bool) {
	z, ok := x.zones[name]
	return z, ok
}

// Route returns a route by name.
func (x *Index) Route(name string) (*Route, bool) {
	r, ok := x.byName[name]
	return r, ok
}

// Match returns the route of a caller's request: the longest prefix that ends
// at a path segment and allows the method. Its time grows with the segments of
// the path, not with the number of routes.
func (x *Index) Match(method, path string) (*Route, bool) {
	for end := len(path); end > 0; end = strings.LastIndexByte(path[:end], '/') {
		if end < len(path) {
			if route, ok := x.atPrefix(method, path[:end+1]); ok { // with its last slash
				return route, true
			}
		}
		if route, ok := x.atPrefix(method, path[:end]); ok {
			return route, true
		}
	}
	if path == "" {
		return nil, false
	}
	return x.atPrefix(method, path[:1])
}

// atPrefix returns the route of exactly this prefix.
func (x *Index) atPrefix(method, prefix string) (*Route, bool) {
	if len(prefix) > x.longestPrefix {
		return nil, false
	}
	for _, route := range x.byPrefix[prefix] {
		if len(route.Methods) == 0 || slices.Contains(route.Methods, method) {
			return route, true
		}
	}
	return nil, false
}

// Allows tells whether a workspace may use the route.
func (r *Route) Allows(workspace string) bool {
	return len(r.Workspaces) == 0 || slices.Contains(r.Workspaces, workspace)
}

// MayCall tells whether the service may call the other one.
func (s *Service) MayCall(other string) bool {
	return slices.Contains(s.Calls, other)
}

// ZoneShare returns the part, from 0 to 1, of the workspace's rate and burst
// that accrues in an availability zone.
func (x *Index) ZoneShare(w *Workspace, zone string) float64 {
	if len(w.ZoneShares) > 0 {
		return w.ZoneShares[zone]
	}
	if _, ok := x.zones[zone]; !ok {
		return 0
	}
	return 1 / float64(len(x.zones))
}

// Path returns a service and all services that a call to it may reach.
func (x *Index) Path(service string) []string {
	path := []string{service}
	for i := 0; i < len(path); i++ {
		s, ok := x.services[path[i]]
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
