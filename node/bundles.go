package node

import (
	"time"

	"go.uber.org/zap"

	"auburngap/bundle"
	"auburngap/settings"
)

// apply updates the node to a bundle that has become active.
func (n *Node) apply(index *bundle.Index) {
	n.logger.Info("bundle: version in force", zap.Uint64("version", index.Bundle.Version))
	n.shards.Apply(index)
	select {
	case n.firstBundle <- index:
	default:
	}
	n.subscribe(index)
}

// subscribe follows the services that the service of this VM calls.
func (n *Node) subscribe(index *bundle.Index) {
	var called []string
	if announced, ok := n.announced.Current(); ok {
		if local, ok := index.Service(announced.Service); ok {
			called = local.Calls
		}
	}
	n.subscriptions.setPermanent(called)
}

// logRefusedBundle logs an offered bundle that is forged or malformed.
func (n *Node) logRefusedBundle(version uint64, err error) {
	n.logger.Warn("bundle: offer refused", zap.Uint64("version", version), zap.Error(err))
}

// rootTrust returns the operators who must sign the first bundle.
func rootTrust(s settings.Node) bundle.Trust {
	roots := bundle.Trust{SignOffs: s.OperatorSignOffs}
	for _, operator := range s.Operators {
		roots.Operators = append(roots.Operators, bundle.Operator{Name: operator.Name, PublicKey: operator.PublicKey})
	}
	return roots
}

// isStale reports whether a workspace must be refused because the last confirmation
// of the active bundle is too old.
func (n *Node) isStale(workspace *bundle.Workspace) bool {
	return workspace.RefuseWhenOlder > 0 && time.Since(n.directory.ConfirmedAt()) > time.Duration(workspace.RefuseWhenOlder)
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
