package config

const (
	journalEntries = 256  // generations that deltas can start from
	journalKeys    = 4096 // keys over all entries
)

// journal records the keys of the rows that changed in the last generations, so
// that a daemon that is a few generations behind gets a small delta.
type journal struct {
	entries []journalEntry // consecutive: each begins where the one before ends
	keys    int            // over all entries
}

type journalEntry struct {
	from, to uint64 // generations
	keys     []string
}

// add records a step from one generation to another. A step with more
// than journalKeys keys clears the journal.
func (j *journal) add(from, to uint64, rows []Row) {
	if len(rows) > journalKeys {
		*j = journal{}
		return
	}
	e := journalEntry{from: from, to: to, keys: make([]string, len(rows))}
	for i := range rows {
		e.keys[i] = rows[i].Key
	}
	j.entries = append(j.entries, e)
	j.keys += len(e.keys)
	for len(j.entries) > journalEntries || j.keys > journalKeys {
		j.keys -= len(j.entries[0].keys)
		j.entries = j.entries[1:]
	}
}

// since returns the keys that changed after a generation. ok is false when
// the journal does not reach back that far.
func (j *journal) since(generation uint64) (keys map[string]bool, ok bool) {
	if len(j.entries) == 0 || generation < j.entries[0].from {
		return nil, false
	}
	keys = map[string]bool{}
	for _, e := range j.entries {
		if e.to <= generation {
			continue
		}
		for _, k := range e.keys {
			keys[k] = true
		}
	}
	return keys, true
}
