package entries

import (
	"cmp"
	"slices"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/version/roster"
)

// MaxLinks is the largest number of entries that an agent links with. It keeps the load per
// agent and entry independent of the size of the fleet. Each entry still has some dozens of
// targets, and shares each of them with few other entries: entries that place tasks on the
// same target compete for its free capacity.
const MaxLinks = 8

// nearLinks is how many of the MaxLinks entries are in the agent's own data centre, if
// there are so many. Through the links to the others, each entry also has targets in other
// data centres, which it needs when its own is out of service.
const nearLinks = MaxLinks / 2

// Choose returns the entries that a node in a data centre links with: all, or MaxLinks of
// them. It uses rendezvous hashing of the names of node and entry: nodes need no
// coordination, the loss of an entry affects only the nodes linked with it, and the restart
// of an entry, which keeps its name, affects none.
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

// ranked is an entry with its rendezvous score for a node; the highest score comes first.
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
