package portion

import (
	"cmp"
	"maps"
	"slices"

	"auburngap/rendezvous"
)

// Node is a node from which owner nodes are chosen.
type Node struct {
	VM   string
	Zone string
	// Leaving nodes are not chosen.
	Leaving bool
}

// minTokensPerOwner is the portion of a burst, in tokens, that each owner node must
// have: tokens that accrue while an owner node is full are lost, and no request
// can use a fraction of a token.
const minTokensPerOwner = 2

// Owners returns the indexes of a workspace's owner nodes in a list of nodes,
// ordered by the names of their zones. There is one owner node in each zone, or in
// fewer zones if the burst is small. All nodes with the same list choose the same
// owner nodes, and few of them change when a node joins or leaves.
func Owners(workspace string, burst float64, nodes []Node) []int {
	chooser := rendezvous.New(workspace)
	best := make(map[string]int)
	for i, node := range nodes {
		if node.Leaving {
			continue
		}
		if first, ok := best[node.Zone]; !ok || chooser.Rank(node.VM) < chooser.Rank(nodes[first].VM) {
			best[node.Zone] = i
		}
	}
	owners := slices.Collect(maps.Values(best))
	slices.SortFunc(owners, func(a, b int) int { return cmp.Compare(chooser.Rank(nodes[a].Zone), chooser.Rank(nodes[b].Zone)) })
	owners = owners[:min(len(owners), max(1, int(burst/minTokensPerOwner)))]
	slices.SortFunc(owners, func(a, b int) int { return cmp.Compare(nodes[a].Zone, nodes[b].Zone) })
	return owners
}

// Collector returns which of a workspace's owner nodes collects the parts of a token
// that the others hold, as an index into owners. Nodes that disagree for a while, as
// their lists differ, lose no tokens.
func Collector(workspace string, owners []int, nodes []Node) int {
	chooser := rendezvous.New(workspace)
	collector := 0
	for i, owner := range owners {
		if chooser.Rank(nodes[owner].VM) < chooser.Rank(nodes[owners[collector]].VM) {
			collector = i
		}
	}
	return collector
}
