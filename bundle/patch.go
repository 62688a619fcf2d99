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

// patch makes a modified copy of a bundle. Unchanged lists are shared with the original;
// changed lists are copied, but not what their items point to.
type patch struct {
	bundle     *Bundle
	workspaces copyOnWriteList[Workspace]
	services   copyOnWriteList[Service]
	routes     copyOnWriteList[Route]
}

func newPatch(b *Bundle, version uint64) *patch {
	copied := *b
	copied.Version = version
	return &patch{
		bundle:     &copied,
		workspaces: copyOnWriteList[Workspace]{items: &copied.Workspaces},
		services:   copyOnWriteList[Service]{items: &copied.Services},
		routes:     copyOnWriteList[Route]{items: &copied.Routes},
	}
}

// remove removes the item of a section. It ignores the site section, which is always
// overwritten as a whole.
func (p *patch) remove(section string) {
	if name, ok := strings.CutPrefix(section, sectionWorkspaces); ok {
		p.workspaces.remove(name)
	}
	if name, ok := strings.CutPrefix(section, sectionServices); ok {
		p.services.remove(name)
	}
	if name, ok := strings.CutPrefix(section, sectionRoutes); ok {
		p.routes.remove(name)
	}
}

// set sets the content of a new or changed section.
func (p *patch) set(section string, content []byte) error {
	if name, ok := strings.CutPrefix(section, sectionWorkspaces); ok {
		return p.workspaces.set(name, content)
	}
	if name, ok := strings.CutPrefix(section, sectionServices); ok {
		return p.services.set(name, content)
	}
	if name, ok := strings.CutPrefix(section, sectionRoutes); ok {
		return p.routes.set(name, content)
	}
	return p.bundle.addSection(section, content)
}

// copyOnWriteList is an ordered list that is copied before its first change.
type copyOnWriteList[T named] struct {
	items  *[]T
	copied bool
}

func (l *copyOnWriteList[T]) ensureCopied() {
	if !l.copied {
		*l.items = slices.Clone(*l.items)
		l.copied = true
	}
}

func (l *copyOnWriteList[T]) find(name string) (int, bool) {
	return slices.BinarySearchFunc(*l.items, name, func(item T, name string) int {
		return strings.Compare(item.name(), name)
	})
}

func (l *copyOnWriteList[T]) remove(name string) {
	if position, found := l.find(name); found {
		l.ensureCopied()
		*l.items = slices.Delete(*l.items, position, position+1)
	}
	if len(*l.items) == 0 {
		*l.items = nil // as Join returns it
	}
}

// set sets the item of the section with the given name.
func (l *copyOnWriteList[T]) set(name string, content []byte) error {
	item, err := decodeJSON[T](content)
	if err != nil {
		return err
	}
	l.ensureCopied()
	position, found := l.find(name)
	if found && item.name() == name {
		(*l.items)[position] = item
		return nil
	}
	if found {
		l.remove(name)
	}
	position, _ = l.find(item.name())
	*l.items = slices.Insert(*l.items, position, item)
	return nil
}
