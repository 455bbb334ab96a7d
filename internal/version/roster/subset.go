package roster

import (
	"cmp"
	"hash/fnv"
	"slices"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

// Subset returns the entries that a node links with: those of n names, or all
// when n is 0. Entries of the node's own data centre come first, and among
// equals the highest rendezvous score of node and entry name wins. So the choice
// needs no coordination, a lost entry moves only the nodes that had it, and a
// restarted entry, which keeps its name, moves none. Draining entries are left
// out.
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

type candidate struct {
	entry   *peerv1.RosterEntry
	distant bool
	score   uint64
}

// rank sorts entries by preference; incarnations of one name stay together.
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

// Score is the rank of an entry for a node: a hash of their names. FNV alone leaves near names with near values, so
// the finalizer of SplitMix64 spreads them.
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
