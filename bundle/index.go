package bundle

import (
	"crypto/sha256"
	"encoding/base64"
	"slices"
	"strings"
	"time"
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
	routes     []*Route
	byName     map[string]*Route
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
		index.routes = append(index.routes, &b.Routes[i])
		index.byName[b.Routes[i].Name] = &b.Routes[i]
	}
	slices.SortStableFunc(index.routes, func(a, b *Route) int {
		return len(b.Prefix) - len(a.Prefix)
	})
	return index
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
// at a path segment and allows the method.
func (x *Index) Match(method, path string) (*Route, bool) {
	for _, route := range x.routes {
		if route.matches(method, path) {
			return route, true
		}
	}
	return nil, false
}

func (r *Route) matches(method, path string) bool {
	if !strings.HasPrefix(path, r.Prefix) {
		return false
	}
	rest := path[len(r.Prefix):]
	if rest != "" && rest[0] != '/' && !strings.HasSuffix(r.Prefix, "/") {
		return false
	}
	return len(r.Methods) == 0 || slices.Contains(r.Methods, method)
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

// Or returns the duration, or the fallback where it is zero.
func (d Duration) Or(fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return time.Duration(d)
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
