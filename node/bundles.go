package node

import (
	"time"

	"go.uber.org/zap"

	"auburngap/bundle"
	"auburngap/settings"
)

// apply takes in a bundle that has come into force.
func (n *Node) apply(index *bundle.Index) {
	n.logger.Info("bundle: version in force", zap.Uint64("version", index.Bundle.Version))
	n.shards.Apply(index)
	select {
	case n.firstBundle <- index:
	default:
	}
	n.subscribe(index)
}

// subscribe follows the services that this VM's own service calls.
func (n *Node) subscribe(index *bundle.Index) {
	var called []string
	if announced, ok := n.announced.Current(); ok {
		if own, ok := index.Service(announced.Service); ok {
			called = own.Calls
		}
	}
	n.subscriptions.keep(called)
}

// refuseBundle notes an offer that is forged or broken.
func (n *Node) refuseBundle(version uint64, err error) {
	n.logger.Warn("bundle: offer refused", zap.Uint64("version", version), zap.Error(err))
}

// rootsOf returns who must sign the first bundle.
func rootsOf(s settings.Node) bundle.Trust {
	roots := bundle.Trust{SignOffs: s.OperatorSignOffs}
	for _, operator := range s.Operators {
		roots.Operators = append(roots.Operators, bundle.Operator{Name: operator.Name, PublicKey: operator.PublicKey})
	}
	return roots
}

// isStale tells whether a workspace is refused as the word of the bundle in
// force is too old.
func (n *Node) isStale(workspace *bundle.Workspace) bool {
	return workspace.RefuseWhenOlder > 0 && time.Since(n.directory.Word()) > time.Duration(workspace.RefuseWhenOlder)
}

// resubscribe subscribes again after the backend server's service has changed.
func (n *Node) resubscribe() {
	if index := n.bundles.Index(); index != nil {
		n.subscribe(index)
	}
}

// zones returns the availability zones of the site.
func (n *Node) zones() []string {
	index := n.bundles.Index()
	if index == nil {
		return nil
	}
	return index.ZoneNames()
}
