package bundle

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"auburngap/request"
)

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func (c *checker) checkTimeout(field string, timeout Duration) {
	ok := timeout >= 0 && time.Duration(timeout) <= MaxTimeout
	c.require(ok, field, "%s is not between 0 and %s", time.Duration(timeout), MaxTimeout)
}

func (c *checker) checkServices() {
	b := c.bundle
	c.checkNames("services", len(b.Services), func(i int) string { return b.Services[i].Name })
	for i, service := range b.Services {
		field := fmt.Sprintf("services[%d]", i)
		c.require(service.Slots >= 1, field+".slots", "%d is not at least 1", service.Slots)
		c.require(service.Connections >= 1, field+".connections", "%d is not at least 1", service.Connections)
		c.checkTimeout(field+".timeout", service.Timeout)
		for j, callee := range service.Calls {
			c.checkServiceExists(fmt.Sprintf("%s.calls[%d]", field, j), callee)
			c.require(!slices.Contains(service.Calls[:j], callee), fmt.Sprintf("%s.calls[%d]", field, j), "%q is listed twice", callee)
		}
	}
}

func (c *checker) checkServiceExists(field, service string) {
	known := slices.ContainsFunc(c.bundle.Services, func(s Service) bool { return s.Name == service })
	c.require(known, field, "no service %q", service)
}

// checkCallGraph finds cycles and call paths that are too deep.
func (c *checker) checkCallGraph() {
	graph := make(map[string][]string)
	for _, service := range c.bundle.Services {
		graph[service.Name] = service.Calls
	}
	search := &depthSearch{graph: graph, depths: make(map[string]int)}
	for i, service := range c.bundle.Services {
		field := fmt.Sprintf("services[%d].calls", i)
		depth := search.depth(service.Name)
		if len(search.cycle) > 0 {
			c.addFault(field, "the calls form a cycle: %s", strings.Join(search.cycle, " > "))
			return
		}
		c.require(depth <= request.MaxDepth, field, "the calls are %d levels deep; at most %d are allowed", depth, request.MaxDepth)
	}
}

// depthSearch finds the length of the longest call path from each service. It stops at the
// first cycle.
type depthSearch struct {
	graph  map[string][]string
	depths map[string]int
	path   []string
	cycle  []string
}

func (s *depthSearch) depth(service string) int {
	if depth, ok := s.depths[service]; ok {
		return depth
	}
	if start := slices.Index(s.path, service); start >= 0 {
		s.cycle = append(slices.Clone(s.path[start:]), service)
		return 0
	}
	s.path = append(s.path, service)
	deepest := 0
	for _, callee := range s.graph[service] {
		deepest = max(deepest, s.depth(callee))
		if len(s.cycle) > 0 {
			return 0
		}
	}
	s.path = s.path[:len(s.path)-1]
	s.depths[service] = deepest + 1
	return deepest + 1
}

func (c *checker) checkRoutes() {
	b := c.bundle
	c.checkNames("routes", len(b.Routes), func(i int) string { return b.Routes[i].Name })
	for i := range b.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		route := &b.Routes[i]
		c.require(strings.HasPrefix(route.Prefix, "/"), field+".prefix", "%q does not begin with /", route.Prefix)
		c.checkRouteService(field, route)
		c.require(route.Priority < request.Priorities, field+".priority", "%d is not below %d", route.Priority, request.Priorities)
		c.checkTimeout(field+".timeout", route.Timeout)
		c.require(route.Timeout > 0, field+".timeout", "a timeout above 0 is needed")
		c.require(route.RetryBudget >= 0 && route.RetryBudget <= MaxRetryBudget, field+".retryBudget", "%d is not between 0 and %d", route.RetryBudget, MaxRetryBudget)
		c.require(!route.Commitment || !route.Idempotent, field+".idempotent", "a commitment is not idempotent")
		c.require(!route.Commitment || !route.Open, field+".open", "a commitment needs a key")
		c.require(!route.Open || len(route.Workspaces) == 0, field+".workspaces", "an open route must not list workspaces")
		c.checkRouteWorkspaces(field+".workspaces", route.Workspaces)
		c.checkRouteMethods(field+".methods", route.Methods)
	}
}

func (c *checker) checkRouteService(field string, route *Route) {
	if len(route.Split) == 0 {
		c.checkServiceExists(field+".service", route.Service)
		return
	}
	c.require(route.Service == "", field+".service", "a route with a split must not name a service")
	for i, part := range route.Split {
		c.checkServiceExists(fmt.Sprintf("%s.split[%d].service", field, i), part.Service)
		c.require(isPositiveFinite(part.Weight), fmt.Sprintf("%s.split[%d].weight", field, i), "%v is not above 0", part.Weight)
	}
}

func (c *checker) checkRouteWorkspaces(field string, names []string) {
	for i, name := range names {
		known := slices.ContainsFunc(c.bundle.Workspaces, func(w Workspace) bool { return w.Name == name })
		c.require(known, fmt.Sprintf("%s[%d]", field, i), "no workspace %q", name)
	}
}

func (c *checker) checkRouteMethods(field string, methods []string) {
	for i, method := range methods {
		upper := method != "" && method == strings.ToUpper(method)
		c.require(upper, fmt.Sprintf("%s[%d]", field, i), "%q is not an HTTP method in capital letters", method)
	}
}

// checkRouteOverlaps finds routes of the same prefix that share a method.
func (c *checker) checkRouteOverlaps() {
	byPrefix := make(map[string][]int)
	for i, route := range c.bundle.Routes {
		for _, j := range byPrefix[route.Prefix] {
			other := &c.bundle.Routes[j]
			c.require(!haveCommonMethod(route.Methods, other.Methods), fmt.Sprintf("routes[%d].prefix", i), "%q overlaps with route %q", route.Prefix, other.Name)
		}
		byPrefix[route.Prefix] = append(byPrefix[route.Prefix], i)
	}
}

func haveCommonMethod(a, b []string) bool {
	if len(a) == 0 || len(b) == 0 {
		return true
	}
	return slices.ContainsFunc(a, func(m string) bool { return slices.Contains(b, m) })
}
