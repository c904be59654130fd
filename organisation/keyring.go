package organisation

import "wisteriafold/config"

// Keyring maps keys to the organisations that own them. It is immutable, so requests
// read it without locks.
type Keyring struct {
	owners map[KeyID]string
	list   []config.Key // list of keys that owners was built from; nil after Without
}

// NewKeyring returns a keyring with the keys of a configuration.
func NewKeyring(c *config.Configuration) *Keyring {
	r := &Keyring{owners: make(map[KeyID]string, len(c.Keys)), list: c.Keys}
	for i := range c.Keys {
		id, err := ParseKeyID(c.Keys[i].Digest)
		if err != nil {
			continue // a validated configuration has no malformed digests
		}
		r.owners[id] = c.Keys[i].Organisation
	}
	return r
}

// For returns the keyring of a configuration. It returns r itself if the
// configuration shares its list of keys with the one that r was built from.
// Generations of the configuration that change no key share the list.
func (r *Keyring) For(c *config.Configuration) *Keyring {
	if len(r.list) > 0 && len(c.Keys) == len(r.list) && &c.Keys[0] == &r.list[0] {
		return r
	}
	return NewKeyring(c)
}

// Lookup returns the organisation that owns key, which is the key as the caller sent
// it. It computes one digest and does one map lookup whether the key is known or not,
// so its cost does not depend on the bytes of the key. It does not allocate.
func (r *Keyring) Lookup(key []byte) (organisation string, ok bool) {
	if len(key) > MaxKeyBytes {
		return "", false
	}
	organisation, ok = r.owners[IDOf(key)]
	return organisation, ok
}

// Owner returns the organisation that owns the key with digest id. It is used to
// check connections, queued requests and running uploads again after the
// configuration has changed.
func (r *Keyring) Owner(id KeyID) (organisation string, ok bool) {
	organisation, ok = r.owners[id]
	return organisation, ok
}

// Len returns the number of keys.
func (r *Keyring) Len() int { return len(r.owners) }

// Without returns a copy of r without the keys that have the given digests. It is used
// for keys that are withdrawn before the generation of the configuration that
// withdraws them has arrived.
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

// Withdrawn returns the keys of before that are missing from after or belong to
// another organisation in it.
func Withdrawn(before, after *Keyring) []KeyID {
	var out []KeyID
	for id, owner := range before.owners {
		if now, ok := after.owners[id]; !ok || now != owner {
			out = append(out, id)
		}
	}
	return out
}
