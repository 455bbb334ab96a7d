package loadreplay

import (
	"flag"
	"strconv"
	"strings"
	"testing"
)

// The flags select the replays of TestReport.
var (
	reportSeeds   = flag.Int("replay.seeds", 0, "number of seeds of the replays whose results are printed")
	reportFirst   = flag.Uint64("replay.first", 1, "first seed")
	reportLoads   = flag.String("replay.loads", "0.85,0.95,1.1", "loads, as shares of the capacity")
	reportEntries = flag.String("replay.entries", "1,3", "numbers of entries; one entry knows the free capacity exactly")
	reportLog     = flag.Bool("replay.log", false, "write the logs of all processes")
)

// TestReport prints the mean results of replays over some seeds.
func TestReport(t *testing.T) {
	if *reportSeeds == 0 {
		return
	}
	for _, load := range numbers(t, *reportLoads) {
		for _, entries := range numbers(t, *reportEntries) {
			var sum result
			sum.byKind = make(map[string]tally)
			for n := range uint64(*reportSeeds) {
				c := overloaded(load, *reportFirst+n)
				c.entries = int(entries)
				sum.add(replay(t, c))
			}
			t.Logf("load %.2f, %d entries: short %.3f, narrow %.3f, long %.3f, all %.3f in time; late %.3f; work in time %.3f; no room %.0f/s, wasted %.1f%%",
				load, int(entries), sum.byKind["short"].inTimeShare(), sum.byKind["narrow"].inTimeShare(), sum.byKind["long"].inTimeShare(),
				sum.total().inTimeShare(), sum.total().lateShare(), sum.inTimeWork/float64(*reportSeeds),
				float64(sum.refusedStarts)/float64(*reportSeeds)/15, 100*sum.wasted/float64(*reportSeeds)/(15*224))
		}
	}
}

func numbers(t *testing.T, list string) []float64 {
	t.Helper()
	var out []float64
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.ParseFloat(text, 64)
		if err != nil {
			t.Fatal(err)
		}
		out = append(out, n)
	}
	return out
}

func (r *result) add(o result) {
	for name, t := range o.byKind {
		r.byKind[name] = r.byKind[name].plus(t)
	}
	r.refusedStarts += o.refusedStarts
	r.wasted += o.wasted
	r.inTimeWork += o.inTimeWork
}

func (t tally) plus(o tally) tally {
	return tally{inTime: t.inTime + o.inTime, late: t.late + o.late, refused: t.refused + o.refused, other: t.other + o.other}
}

func (r *result) total() tally {
	var sum tally
	for _, t := range r.byKind {
		sum = sum.plus(t)
	}
	return sum
}

func (t tally) lateShare() float64 { return float64(t.late) / float64(max(t.all(), 1)) }
