package entries

import (
	"cmp"
	"slices"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

// MaxLinks is the number of entries that an agent links with where there are more.
// What an agent and an entry do for each other then stays the same however large the
// fleet is, while each entry still sees some dozens of targets, and shares each of them
// with few others: those who foresee the same room take it from each other.
const MaxLinks = 8

// nearLinks is how many of them are of the agent's own data centre, if there are so
// many. The others keep every entry in reach of targets elsewhere when its own data
// centre is out of service.
const nearLinks = MaxLinks / 2

// Choose returns the entries that a node in a data centre links with: all, or MaxLinks
// of them. Each node ranks the entries by a hash of both names (rendezvous hashing), so
// that the choice needs no coordination, a lost entry moves only the nodes that had it,
// and a restarted one, which keeps its name, moves none.
func Choose(all []peer.Entry, node, dataCentre string) []peer.Entry {
	if len(all) <= MaxLinks {
		return all
	}
	var near, far []ranked
	for _, e := range all {
		r := ranked{Entry: e, score: roster.Score(node, e.Name)}
		if e.DataCentre == dataCentre {
			near = append(near, r)
		} else {
			far = append(far, r)
		}
	}
	sortByRank(near)
	sortByRank(far)
	n := max(min(nearLinks, len(near)), MaxLinks-len(far))
	chosen := make([]peer.Entry, 0, MaxLinks)
	for _, r := range slices.Concat(near[:n], far[:MaxLinks-n]) {
		chosen = append(chosen, r.Entry)
	}
	return chosen
}

type ranked struct {
	peer.Entry
	score uint64
}

func sortByRank(list []ranked) {
	slices.SortFunc(list, func(a, b ranked) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.Name, b.Name)
	})
}
