package bundle

import (
	"slices"
	"strings"
)

// clone copies the lists, not what their items point to.
func (b *Bundle) clone() *Bundle {
	copied := *b
	copied.Workspaces = slices.Clone(b.Workspaces)
	copied.Services = slices.Clone(b.Services)
	copied.Routes = slices.Clone(b.Routes)
	return &copied
}

// drop removes what a section holds; the site section is overwritten anyway.
func (b *Bundle) drop(name string) {
	if own, ok := strings.CutPrefix(name, sectionWorkspaces); ok {
		b.Workspaces = slices.DeleteFunc(b.Workspaces, func(w Workspace) bool { return w.Name == own })
	}
	if own, ok := strings.CutPrefix(name, sectionServices); ok {
		b.Services = slices.DeleteFunc(b.Services, func(s Service) bool { return s.Name == own })
	}
	if own, ok := strings.CutPrefix(name, sectionRoutes); ok {
		b.Routes = slices.DeleteFunc(b.Routes, func(r Route) bool { return r.Name == own })
	}
}

// sort orders the lists by name, as Join does.
func (b *Bundle) sort() {
	slices.SortFunc(b.Workspaces, func(x, y Workspace) int { return strings.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Services, func(x, y Service) int { return strings.Compare(x.Name, y.Name) })
	slices.SortFunc(b.Routes, func(x, y Route) int { return strings.Compare(x.Name, y.Name) })
}
