package entries

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
)

func fleet(dataCentres, each int) []peer.Entry {
	var all []peer.Entry
	for dc := range dataCentres {
		for i := range each {
			all = append(all, peer.Entry{Name: fmt.Sprintf("dc%d-%d", dc, i), DataCentre: fmt.Sprintf("dc%d", dc), Incarnation: 1})
		}
	}
	return all
}

func names(all []peer.Entry) []string {
	var list []string
	for _, e := range all {
		list = append(list, e.Name)
	}
	slices.Sort(list)
	return list
}

// In a small fleet each agent links with all entries. In a large one it links with MaxLinks
// of them, and the loss of an entry replaces only that one.
func TestChooseIsBoundedAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := fleet(rapid.IntRange(1, 6).Draw(t, "data centres"), rapid.IntRange(1, 40).Draw(t, "entries each"))
		node := rapid.StringMatching("[a-z]{1,8}").Draw(t, "node")
		chosen := names(Choose(all, node, "dc0"))
		if len(chosen) != min(len(all), MaxLinks) {
			t.Fatalf("%d of %d entries are chosen", len(chosen), len(all))
		}
		if len(slices.Compact(slices.Clone(chosen))) != len(chosen) {
			t.Fatalf("an entry is chosen twice: %v", chosen)
		}
		lost := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
		rest := slices.Delete(slices.Clone(all), lost, lost+1)
		moved := 0
		for _, name := range names(Choose(rest, node, "dc0")) {
			if !slices.Contains(chosen, name) {
				moved++
			}
		}
		if moved > 1 || (moved == 1 && !slices.Contains(chosen, all[lost].Name)) {
			t.Fatalf("the loss of %s replaced %d of %v", all[lost].Name, moved, chosen)
		}
	})
}

// With 35 entries and 160 targets in five data centres, each entry has at least a quarter
// of an even share of the links with targets in its own data centre, and as many with
// targets elsewhere.
func TestEachEntryHasTargetsInAndOutOfItsDataCentre(t *testing.T) {
	// each is the number of links per entry in an even distribution.
	const each = 160 * MaxLinks / 35
	all := fleet(5, 7)
	near, far := make(map[string]int), make(map[string]int)
	for i := range 160 {
		dc := fmt.Sprintf("dc%d", i%5)
		for _, e := range Choose(all, fmt.Sprintf("side-%d", i), dc) {
			if e.DataCentre == dc {
				near[e.Name]++
			} else {
				far[e.Name]++
			}
		}
	}
	for _, e := range all {
		if near[e.Name] < each/4 || far[e.Name] < each/4 {
			t.Errorf("%s has links with %d targets of its own data centre and %d of others", e.Name, near[e.Name], far[e.Name])
		}
	}
}

// A key expires during an outage of the store: the entry stays until the end of its grace
// period, and afterwards too if it is listed again by then.
func TestSetKeepsUnlistedEntriesForGracePeriod(t *testing.T) {
	const grace = 3 * time.Second
	now := time.Now()
	s := NewSet(grace)
	a, b := peer.Entry{Name: "a", Incarnation: 1}, peer.Entry{Name: "b", Incarnation: 1}
	if changed := s.Replace([]peer.Entry{a, b}, now); len(changed) != 2 {
		t.Errorf("changed %v", changed)
	}
	s.Replace(nil, now)
	if gone := s.Expire(now.Add(grace - time.Millisecond)); len(gone) > 0 || s.Len() != 2 {
		t.Errorf("gone within the grace period: %v", gone)
	}
	if s.Put(b) {
		t.Error("an unchanged entry that is listed again counts as changed")
	}
	if gone := s.Expire(now.Add(grace)); !slices.Equal(gone, []string{"a"}) || !slices.Equal(names(s.All()), []string{"b"}) {
		t.Errorf("gone %v, left %v", gone, s.All())
	}
	if !s.Put(peer.Entry{Name: "b", Incarnation: 2}) {
		t.Error("a new process under the same name does not count as changed")
	}
}
