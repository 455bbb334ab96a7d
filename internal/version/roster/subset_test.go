package roster

import (
	"fmt"
	"math"
	"slices"
	"testing"

	"pgregory.net/rapid"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
)

func entries(dataCentres, perDataCentre int) []*peerv1.RosterEntry {
	var list []*peerv1.RosterEntry
	for dc := range dataCentres {
		for i := range perDataCentre {
			list = append(list, &peerv1.RosterEntry{
				Name:        fmt.Sprintf("dc%d-entry-%d", dc, i),
				DataCentre:  fmt.Sprintf("dc%d", dc),
				Incarnation: uint64(dc*perDataCentre + i + 1),
			})
		}
	}
	return list
}

func names(r *Roster, node, dataCentre string, n int) []string {
	var list []string
	for _, e := range r.Subset(node, dataCentre, n) {
		list = append(list, e.GetName())
	}
	slices.Sort(list)
	return list
}

func missing(from, list []string) []string {
	var lost []string
	for _, name := range list {
		if !slices.Contains(from, name) {
			lost = append(lost, name)
		}
	}
	return lost
}

func TestSubsetSizeAndNearEntriesFirst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := New(1, entries(rapid.IntRange(1, 4).Draw(t, "centres"), rapid.IntRange(1, 8).Draw(t, "each")))
		n := rapid.IntRange(0, 10).Draw(t, "links")
		subset := r.Subset(rapid.String().Draw(t, "node"), "dc0", n)
		want := min(n, len(r.Entries))
		if n == 0 {
			want = len(r.Entries)
		}
		if len(subset) != want {
			t.Fatalf("%d entries chosen, want %d", len(subset), want)
		}
		distant := false
		for _, e := range subset {
			if distant && e.GetDataCentre() == "dc0" {
				t.Fatal("a distant entry comes before a near one")
			}
			distant = e.GetDataCentre() != "dc0"
		}
	})
}

// The loss of an entry changes the links only of nodes that were linked with it. The same
// holds for an added entry, with before and after exchanged.
func TestLostEntryAffectsOnlyItsNodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := entries(rapid.IntRange(1, 3).Draw(t, "centres"), rapid.IntRange(2, 8).Draw(t, "each"))
		gone := rapid.IntRange(0, len(all)-1).Draw(t, "gone")
		lost := all[gone].GetName()
		before := New(1, slices.Clone(all))
		after := New(2, slices.Delete(slices.Clone(all), gone, gone+1))
		n := rapid.IntRange(1, 4).Draw(t, "links")
		for i := range 50 {
			node := fmt.Sprintf("agent-%d", i)
			old, now := names(before, node, "dc0", n), names(after, node, "dc0", n)
			if moved := missing(now, old); len(moved) > 0 && !slices.Equal(moved, []string{lost}) {
				t.Fatalf("%s lost its links with %v when only %s was removed", node, moved, lost)
			}
			if !slices.Contains(old, lost) && !slices.Equal(old, now) {
				t.Fatalf("the links of %s changed, though it was not linked with %s", node, lost)
			}
		}
	})
}

func TestRestartedEntryAffectsNoNode(t *testing.T) {
	all := entries(2, 5)
	restarted := append(slices.Clone(all), &peerv1.RosterEntry{Name: "dc0-entry-1", DataCentre: "dc0", Incarnation: 99})
	before, both := New(1, all), New(2, restarted)
	for i := range 100 {
		node := fmt.Sprintf("agent-%d", i)
		old, now := names(before, node, "dc0", 2), slices.Compact(names(both, node, "dc0", 2))
		if !slices.Equal(old, now) {
			t.Fatalf("the links of %s changed from %v to %v", node, old, now)
		}
	}
}

func TestDrainingEntryIsNotChosen(t *testing.T) {
	all := entries(1, 3)
	all[1].Draining = true
	if got := names(New(1, all), "agent", "dc0", 3); slices.Contains(got, "dc0-entry-1") {
		t.Fatalf("draining entry was chosen: %v", got)
	}
}

// TestSubsetIsBalanced uses as many nodes and entries in one data centre as the system is
// designed for. The choice is random per name, so the number of links of an entry is
// binomially distributed. A deviation of more than five standard deviations shows a bias.
func TestSubsetIsBalanced(t *testing.T) {
	const nodes, perDataCentre, links, deviations = 1450, 10, 3, 5
	r := New(1, entries(2, perDataCentre))
	load := make(map[string]int)
	for i := range nodes {
		for _, name := range names(r, fmt.Sprintf("runner-%d-agent", i), "dc0", links) {
			load[name]++
		}
	}
	mean := float64(nodes*links) / perDataCentre
	deviation := math.Sqrt(mean * (1 - float64(links)/perDataCentre))
	for name, n := range load {
		if math.Abs(float64(n)-mean) > deviations*deviation {
			t.Errorf("%s has %d links, mean %.0f", name, n, mean)
		}
	}
	if len(load) != perDataCentre {
		t.Errorf("%d entries have links, want the %d of the data centre", len(load), perDataCentre)
	}
}
