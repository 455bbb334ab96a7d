package rollout

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

// Targets of the measures.
const (
	maxLastStart    = 2 * time.Second
	maxAfterInForce = 5 * time.Second
	minWorkShare    = 0.95
)

// report prints the measures and reports whether they reach the targets.
func (r *run) report(out io.Writer) bool {
	starts := r.fleet.Ledger.Starts()
	ok := true
	if len(r.rounds) > 0 {
		ok = r.reportRounds(out, starts)
	}
	if r.options.Outage > 0 {
		ok = r.reportOutage(out) && ok
	}
	ok = r.reportJobs(out) && ok
	r.reportStore(out)
	return ok
}

func (r *run) reportRounds(out io.Writer, starts []standintarget.Start) bool {
	var accepted, askedStarts, askedReturns, lastStarts, firstStarts, afterInForce []time.Duration
	notInForce := 0
	for _, t := range r.rounds {
		last, first := startsAround(t, starts)
		accepted = append(accepted, t.out.Sub(t.asked))
		askedStarts = append(askedStarts, last.Sub(t.asked))
		lastStarts = append(lastStarts, max(0, last.Sub(t.out)))
		if !first.IsZero() {
			askedReturns = append(askedReturns, first.Sub(t.askedIn))
			firstStarts = append(firstStarts, max(0, first.Sub(t.in)))
		}
		switch {
		case !t.inForce.IsZero():
			afterInForce = append(afterInForce, max(0, last.Sub(t.inForce)))
		case r.options.Fault != None:
			notInForce++
		}
	}
	line(out, "rounds", fmt.Sprint(len(r.rounds)))
	lineDurations(out, "asked to accepted", accepted)
	lineDurations(out, "asked to last start", askedStarts)
	lineDurations(out, "accepted to last start", lastStarts)
	lineDurations(out, "return asked to first start", askedReturns)
	lineDurations(out, "return accepted to first start", firstStarts)
	line(out, "rounds without a start after return", fmt.Sprint(len(r.rounds)-len(firstStarts)))
	ok := r.options.Fault != None || slices.Max(lastStarts) <= maxLastStart
	if r.options.Fault != None {
		lineDurations(out, "in force to last start", afterInForce)
		line(out, "rounds not in force in time", fmt.Sprint(notInForce))
		ok = notInForce == 0 && slices.Max(afterInForce) <= maxAfterInForce
	}
	return r.reportWork(out, starts) && ok
}

// startsAround returns the last start while the data centre was out, and the
// first after its return.
func startsAround(t round, starts []standintarget.Start) (last, first time.Time) {
	last = t.out
	for _, s := range starts {
		if s.DataCentre != t.dataCentre {
			continue
		}
		if s.At.After(last) && s.At.Before(t.askedIn) {
			last = s.At
		}
		if s.At.After(t.askedIn) && s.At.Before(t.end) && (first.IsZero() || s.At.Before(first)) {
			first = s.At
		}
	}
	return last, first
}

// reportWork compares the work done from the first change to the last with the
// capacity left at each time, and with a baseline in which each entry uses only
// its own data centre.
func (r *run) reportWork(out io.Writer, starts []standintarget.Start) bool {
	slots := make(map[string]int)
	for _, t := range r.fleet.Spec.Targets {
		slots[t.DataCentre] += t.Slots
	}
	var away, in work
	total := r.load.slots()
	for _, t := range r.rounds {
		left := total - slots[t.dataCentre]
		away.capacity += time.Duration(left) * t.in.Sub(t.out)
		in.capacity += time.Duration(total) * t.end.Sub(t.in)
		for _, s := range starts {
			began, ended := s.At, s.At.Add(r.load.runs[s.Task])
			in.done += overlap(began, ended, t.in, t.end)
			if s.DataCentre != t.dataCentre {
				away.done += overlap(began, ended, t.out, t.in)
			}
		}
	}
	all := work{done: away.done + in.done, capacity: away.capacity + in.capacity}
	line(out, "work done of capacity left", fmt.Sprintf("%.3f", all.share()))
	line(out, "  while a data centre is out", fmt.Sprintf("%.3f", away.share()))
	line(out, "  after its return", fmt.Sprintf("%.3f", in.share()))
	if r.load.share > 0 {
		// The baseline has no spill: an entry uses only its own data centre.
		baseline := r.load.share * float64(all.capacity)
		line(out, "work done of plain baseline (computed)", fmt.Sprintf("%.3f", float64(all.done)/baseline))
		return true
	}
	return all.share() >= minWorkShare
}

// work is slot time, done and there.
type work struct {
	done, capacity time.Duration
}

func (w work) share() float64 { return float64(w.done) / float64(w.capacity) }

func overlap(a, b, from, to time.Time) time.Duration {
	if a.Before(from) {
		a = from
	}
	if b.After(to) {
		b = to
	}
	return max(0, b.Sub(a))
}

// reportOutage compares the responses before, in and after the outage.
func (r *run) reportOutage(out io.Writer) bool {
	from, to := r.outage[0], r.outage[1]
	length := r.options.window()
	ok := true
	for _, window := range []struct {
		name     string
		from, to time.Time
	}{
		{"before the outage", from.Add(-length), from},
		{"in the outage", from, to},
		{"after the outage", to, to.Add(length)},
	} {
		var ratios []float64
		failed := 0
		for _, a := range r.load.answers {
			if a.sent.Before(window.from) || !a.sent.Before(window.to) {
				continue
			}
			if a.err != nil {
				failed++
				continue
			}
			ratios = append(ratios, float64(a.at.Sub(a.sent))/float64(a.ideal))
		}
		slices.Sort(ratios)
		if len(ratios) == 0 {
			line(out, window.name, "no complete job")
			return false
		}
		line(out, "response over ideal "+window.name, fmt.Sprintf("p50 %.3f  p99 %.3f  max %.3f  jobs %d  failed %d",
			quantile(ratios, 50), quantile(ratios, 99), ratios[len(ratios)-1], len(ratios), failed))
		ok = ok && failed == 0
	}
	return ok
}

func (r *run) reportJobs(out io.Writer) bool {
	failed := make(map[string]int)
	for _, a := range r.load.answers {
		if a.err != nil {
			failed[a.err.Error()]++
		}
	}
	n := 0
	for _, count := range failed {
		n += count
	}
	line(out, "jobs complete", fmt.Sprint(len(r.load.answers)-n))
	line(out, "jobs failed", fmt.Sprint(n))
	for _, message := range slices.Sorted(maps.Keys(failed)) {
		line(out, "  "+message, fmt.Sprint(failed[message]))
	}
	counters := r.fleet.Counters()
	for _, name := range []string{"attempts_sent", "retried_data_centre_out", "retried_stale_permit", "retried_target_full", "brokers_silent", "contact_majorities", "freshness_lapsed"} {
		line(out, name, fmt.Sprint(counters[name]))
	}
	// In a partition the outcome of what was sent to the part cut off is unknown.
	return n == 0 || r.options.Fault == Partition
}

// reportStore prints the calls a second of the store.
func (r *run) reportStore(out io.Writer) {
	seconds := r.played.Seconds()
	var total int64
	for _, method := range slices.Sorted(maps.Keys(r.calls)) {
		n := r.calls[method] - r.before[method]
		total += n
		line(out, "store "+method+" a second", fmt.Sprintf("%.2f", float64(n)/seconds))
	}
	line(out, "store calls a second", fmt.Sprintf("%.2f", float64(total)/seconds))
	line(out, "store calls a second and entry", fmt.Sprintf("%.2f", float64(total)/seconds/float64(len(r.fleet.Entries))))
	line(out, "changes a second", fmt.Sprintf("%.2f", float64(r.changes)/seconds))
}

func line(out io.Writer, name, value string) {
	_, _ = fmt.Fprintf(out, "%-44s %s\n", name, value)
}

func lineDurations(out io.Writer, name string, values []time.Duration) {
	if len(values) == 0 {
		line(out, name, "none")
		return
	}
	slices.Sort(values)
	line(out, name, fmt.Sprintf("p50 %.3f s  p99 %.3f s  max %.3f s",
		quantile(values, 50).Seconds(), quantile(values, 99).Seconds(), values[len(values)-1].Seconds()))
}

// quantile returns a percentile of sorted values.
func quantile[T any](sorted []T, percent int) T {
	rank := (len(sorted)*percent + 99) / 100
	return sorted[max(0, rank-1)]
}
