package bundle

// IssueKey adds a key to a workspace. It returns ErrNoKey if there is no such workspace.
// It does not detect duplicate keys; Check does.
func (b *Bundle) IssueKey(workspace string, key Key) error {
	for i := range b.Workspaces {
		if w := &b.Workspaces[i]; w.Name == workspace {
			w.Keys = append(w.Keys, key)
			return nil
		}
	}
	return ErrNoKey.New("no workspace %q", workspace)
}

// WithdrawKey marks a key as withdrawn and returns the name of its workspace. It returns
// ErrNoKey if there is no such key or it is already withdrawn.
func (b *Bundle) WithdrawKey(id string) (string, error) {
	for i := range b.Workspaces {
		w := &b.Workspaces[i]
		for j := range w.Keys {
			if w.Keys[j].ID != id {
				continue
			}
			if w.Keys[j].Withdrawn {
				return "", ErrNoKey.New("key %q of workspace %q is withdrawn already", id, w.Name)
			}
			w.Keys[j].Withdrawn = true
			return w.Name, nil
		}
	}
	return "", ErrNoKey.New("no key %q", id)
}
