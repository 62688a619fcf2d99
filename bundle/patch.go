package bundle

import (
	"slices"
	"strings"
)

// named is an item of a list that is ordered by name.
type named interface{ name() string }

func (w Workspace) name() string { return w.Name }
func (s Service) name() string   { return s.Name }
func (r Route) name() string     { return r.Name }
func (z Zone) name() string      { return z.Name }

// patch makes a bundle of another one. Lists in which nothing changes stay the
// same; the others are copied, not what their items point to.
type patch struct {
	bundle     *Bundle
	workspaces ownList[Workspace]
	services   ownList[Service]
	routes     ownList[Route]
}

func newPatch(b *Bundle, version uint64) *patch {
	copied := *b
	copied.Version = version
	return &patch{
		bundle:     &copied,
		workspaces: ownList[Workspace]{items: &copied.Workspaces},
		services:   ownList[Service]{items: &copied.Services},
		routes:     ownList[Route]{items: &copied.Routes},
	}
}

// drop removes what a section holds; the site section is overwritten anyway.
func (p *patch) drop(section string) {
	if own, ok := strings.CutPrefix(section, sectionWorkspaces); ok {
		p.workspaces.drop(own)
	}
	if own, ok := strings.CutPrefix(section, sectionServices); ok {
		p.services.drop(own)
	}
	if own, ok := strings.CutPrefix(section, sectionRoutes); ok {
		p.routes.drop(own)
	}
}

// put takes in a section that is new or changed.
func (p *patch) put(section string, content []byte) error {
	if own, ok := strings.CutPrefix(section, sectionWorkspaces); ok {
		return p.workspaces.put(own, content)
	}
	if own, ok := strings.CutPrefix(section, sectionServices); ok {
		return p.services.put(own, content)
	}
	if own, ok := strings.CutPrefix(section, sectionRoutes); ok {
		return p.routes.put(own, content)
	}
	return p.bundle.take(section, content)
}

// ownList is an ordered list that is copied before its first change.
type ownList[T named] struct {
	items  *[]T
	copied bool
}

func (l *ownList[T]) own() {
	if !l.copied {
		*l.items = slices.Clone(*l.items)
		l.copied = true
	}
}

func (l *ownList[T]) find(name string) (int, bool) {
	return slices.BinarySearchFunc(*l.items, name, func(item T, name string) int {
		return strings.Compare(item.name(), name)
	})
}

func (l *ownList[T]) drop(name string) {
	if at, found := l.find(name); found {
		l.own()
		*l.items = slices.Delete(*l.items, at, at+1)
	}
	if len(*l.items) == 0 {
		*l.items = nil // as Join leaves it
	}
}

// put sets the item of a section's name.
func (l *ownList[T]) put(name string, content []byte) error {
	item, err := decode[T](content)
	if err != nil {
		return err
	}
	l.own()
	at, found := l.find(name)
	if found && item.name() == name {
		(*l.items)[at] = item
		return nil
	}
	if found {
		l.drop(name)
	}
	at, _ = l.find(item.name())
	*l.items = slices.Insert(*l.items, at, item)
	return nil
}
