package roster

import (
	"cmp"
	"hash/fnv"
	"slices"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// Subset returns the entries that a node links with: those with the first n names in order
// of preference, or all if n is 0. Entries of the node's own data centre come first, then
// those with the highest rendezvous score. Draining entries are left out.
//
// With rendezvous hashing nodes need no coordination, the loss of an entry affects only the
// nodes linked with it, and the restart of an entry, which keeps its name, affects none.
func (r *Roster) Subset(node, dataCentre string, n int) []*peerv1.RosterEntry {
	candidates := rank(r.Entries, node, dataCentre)
	if n == 0 {
		return entriesOf(candidates)
	}
	names := 0
	for i, c := range candidates {
		if i == 0 || c.entry.GetName() != candidates[i-1].entry.GetName() {
			names++
		}
		if names > n {
			return entriesOf(candidates[:i])
		}
	}
	return entriesOf(candidates)
}

// candidate is an entry with what its rank for a node depends on.
type candidate struct {
	entry   *peerv1.RosterEntry
	distant bool
	score   uint64
}

// rank returns the entries that are not draining in order of preference. Incarnations with
// the same name stay together.
func rank(entries []*peerv1.RosterEntry, node, dataCentre string) []candidate {
	ranked := make([]candidate, 0, len(entries))
	for _, e := range entries {
		if e.GetDraining() {
			continue
		}
		distant := e.GetDataCentre() != dataCentre
		ranked = append(ranked, candidate{entry: e, distant: distant, score: Score(node, e.GetName())})
	}
	slices.SortStableFunc(ranked, func(a, b candidate) int {
		if a.distant != b.distant {
			return compareBool(a.distant, b.distant)
		}
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.entry.GetName(), b.entry.GetName())
	})
	return ranked
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

func entriesOf(candidates []candidate) []*peerv1.RosterEntry {
	entries := make([]*peerv1.RosterEntry, len(candidates))
	for i, c := range candidates {
		entries[i] = c.entry
	}
	return entries
}

// Score returns the rendezvous score of an entry for a node, a hash of their names. FNV
// alone gives similar values for similar names, so the finalizer of SplitMix64 mixes them.
func Score(node, entry string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(node))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(entry))
	x := h.Sum64()
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
