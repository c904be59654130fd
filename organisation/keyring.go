package organisation

import "wisteriafold/config"

// Keyring finds the owner of a key. It is immutable; traffic reads it without
// locks.
type Keyring struct {
	owners map[KeyID]string
	list   []config.Key // that owners were made of
}

// NewKeyring returns the keys of a configuration.
func NewKeyring(c *config.Configuration) *Keyring {
	r := &Keyring{owners: make(map[KeyID]string, len(c.Keys)), list: c.Keys}
	for i := range c.Keys {
		id, err := ParseKeyID(c.Keys[i].Digest)
		if err != nil {
			continue // a checked configuration has none
		}
		r.owners[id] = c.Keys[i].Organisation
	}
	return r
}

// For returns the keyring of a configuration: r itself when the configuration
// shares its list of keys with the one that r was made of, as generations do
// that change no key.
func (r *Keyring) For(c *config.Configuration) *Keyring {
	if len(r.list) > 0 && len(c.Keys) == len(r.list) && &c.Keys[0] == &r.list[0] {
		return r
	}
	return NewKeyring(c)
}

// Lookup returns the organisation that owns the key as a caller sent it. The
// work is one digest and one map access, whether the key is known or not, and
// does not depend on the key's bytes. It does not allocate.
func (r *Keyring) Lookup(key []byte) (organisation string, ok bool) {
	if len(key) > MaxKeyBytes {
		return "", false
	}
	organisation, ok = r.owners[IDOf(key)]
	return organisation, ok
}

// Owner returns the organisation of a key that was digested before: by it
// connections, queued requests and running uploads are checked again after the
// configuration has changed.
func (r *Keyring) Owner(id KeyID) (organisation string, ok bool) {
	organisation, ok = r.owners[id]
	return organisation, ok
}

// Len returns the number of keys.
func (r *Keyring) Len() int { return len(r.owners) }

// Without returns a keyring that lacks the given keys: withdrawals that have
// arrived ahead of the generation that they belong to.
func (r *Keyring) Without(digests []string) *Keyring {
	out := &Keyring{owners: make(map[KeyID]string, len(r.owners))}
	for id, owner := range r.owners {
		out.owners[id] = owner
	}
	for _, d := range digests {
		if id, err := ParseKeyID(d); err == nil {
			delete(out.owners, id)
		}
	}
	return out
}

// Withdrawn returns the keys of before that after does not have or that belong
// to another organisation there.
func Withdrawn(before, after *Keyring) []KeyID {
	var out []KeyID
	for id, owner := range before.owners {
		if now, ok := after.owners[id]; !ok || now != owner {
			out = append(out, id)
		}
	}
	return out
}
