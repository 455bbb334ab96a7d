// Package replay replays a trace against a fleet and checks the expected outcomes and
// the invariants of the system.
package replay

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/bench/trace"
	standinstore "github.com/rosemarybay/rosemarybay/internal/standin/store"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

// dataCentreDelay is the simulated one-way network delay between data centres.
const dataCentreDelay = 500 * time.Microsecond

// Run replays a trace and returns the violations found. It returns an error if the trace
// could not be replayed.
func Run(ctx context.Context, t *trace.Trace, progress io.Writer) ([]string, error) {
	spec := t.Fleet
	spec.NetworkDelays.BetweenDataCentres = dataCentreDelay
	f, err := fleet.Start(ctx, spec)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p := &player{
		trace:        t,
		fleet:        f,
		random:       rand.New(rand.NewPCG(uint64(spec.Seed), 0)),
		jobs:         make(map[string]*job),
		plannedStops: make(map[string]time.Time),
		progress:     progress,
	}
	p.play(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err // the outcomes of an interrupted replay cannot be checked
	}
	violations := p.check()
	if len(violations) > 0 {
		p.logWarnings()
	}
	return violations, nil
}

// player replays one trace and records what happens.
type player struct {
	trace     *trace.Trace
	fleet     *fleet.Fleet
	random    *rand.Rand
	startedAt time.Time
	progress  io.Writer
	pending   sync.WaitGroup

	mu           sync.Mutex
	jobs         map[string]*job
	failedStops  []string
	plannedStops map[string]time.Time
}

func (p *player) play(ctx context.Context) {
	p.startedAt = time.Now()
	for _, e := range p.trace.Events {
		if !p.sleepUntil(ctx, trace.AtMS(e)) {
			return
		}
		p.apply(ctx, e)
	}
	p.sleepUntil(ctx, p.trace.Fleet.UntilMS)
	p.pending.Wait()
}

func (p *player) sleepUntil(ctx context.Context, atMS int) bool {
	wait := time.Until(p.startedAt.Add(time.Duration(atMS) * time.Millisecond))
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// runAfter runs f in the background after a delay in milliseconds.
func (p *player) runAfter(ms int, f func()) {
	p.runInBackground(func() {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		f()
	})
}

func (p *player) runInBackground(f func()) {
	p.pending.Go(f)
}

// entry returns the entry with the given name, or a random one if the name is empty.
func (p *player) entry(name string) *fleet.Node {
	if name != "" {
		return p.fleet.Node(name)
	}
	return p.fleet.Entries[p.random.IntN(len(p.fleet.Entries))]
}

func (p *player) apply(ctx context.Context, e trace.Event) {
	switch e := e.(type) {
	case *trace.Submit:
		p.submit(ctx, e)
	case *trace.Resubmit:
		p.resubmit(ctx, e)
	case *trace.Cancel:
		p.cancel(ctx, e)
	case *trace.Change:
		via := p.entry(e.Via)
		p.runInBackground(func() { p.change(ctx, e, via) })
	case *trace.NodeEvent:
		p.nodeEvent(e)
	case *trace.Pause:
		n := p.fleet.Node(e.Node)
		p.runInBackground(func() { n.Pause(time.Duration(e.ForMS) * time.Millisecond) })
	case *trace.Partition:
		p.runAfter(e.ForMS, p.fleet.Partition(e.A, e.B))
	case *trace.StoreFault:
		p.fleet.Store.SetMode(storeMode(e.Mode))
		p.runAfter(e.ForMS, func() { p.fleet.Store.SetMode(standinstore.Up) })
	case *trace.TargetFault:
		target := p.fleet.Target(e.Name)
		target.SetFault(standintarget.Mode(e.Mode), e.Factor)
		p.runAfter(e.ForMS, func() { target.SetFault(standintarget.OK, 0) })
	}
}

func storeMode(mode string) standinstore.Mode {
	switch mode {
	case "down":
		return standinstore.Down
	case "slow":
		return standinstore.Slow
	default:
		return standinstore.LoseAnswers
	}
}

func (p *player) nodeEvent(e *trace.NodeEvent) {
	n := p.fleet.Node(e.Node)
	switch e.Do {
	case "kill":
		p.fleet.SaveCounters(n)
		n.Kill()
	case "stop":
		p.plannedStops[n.Name] = time.Now()
		p.runInBackground(func() { p.stop(n) })
	case "start":
		if err := n.Start(); err != nil {
			p.logf("start of %s: %v", n.Name, err)
		}
	}
}

// stop stops a node gracefully and records a violation if the process does not end.
// Requests in flight must still be answered; checkStops checks that.
func (p *player) stop(n *fleet.Node) {
	p.fleet.SaveCounters(n)
	if !n.Stop() {
		p.addFailedStop(fmt.Sprintf("planned stop of %s did not end", n.Name))
	}
}

func (p *player) addFailedStop(violation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failedStops = append(p.failedStops, violation)
}

func (p *player) change(ctx context.Context, e *trace.Change, via *fleet.Node) {
	kind, out := parseChange(e.Do)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.trace.Fleet.UntilMS)*time.Millisecond)
	defer cancel()
	_, err := p.fleet.ConfigClient(via).Change(ctx, connect.NewRequest(&apiv1.ChangeRequest{
		ChangeId: fmt.Sprintf("%s-%s-%d", e.Do, e.Name, e.AtMS),
		By:       fleet.Operator,
		Kind:     kind,
		Name:     e.Name,
		AnyBase:  true,
		Change:   &apiv1.ChangeRequest_SetOut{SetOut: &apiv1.SetOut{Out: out}},
	}))
	if err != nil {
		p.logf("%s %s: %v", e.Do, e.Name, err)
		return
	}
	p.logf("%s %s accepted", e.Do, e.Name)
}

func parseChange(do string) (kind apiv1.ObjectKind, out bool) {
	switch do {
	case "data_centre_out", "data_centre_in":
		return apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, do == "data_centre_out"
	case "target_leave", "target_return":
		return apiv1.ObjectKind_OBJECT_KIND_TARGET, do == "target_leave"
	default:
		return apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, do == "department_leave"
	}
}

// logf prints a line with the time since the start of the replay.
func (p *player) logf(format string, args ...any) {
	at := time.Since(p.startedAt).Milliseconds()
	_, _ = fmt.Fprintf(p.progress, "%6d ms  %s\n", at, fmt.Sprintf(format, args...))
}

// File replays the trace in a file and returns the exit status: 0 if there are no
// violations, 1 if there are violations or the replay failed, 2 if the file is unreadable
// or invalid.
func File(ctx context.Context, path string, out, errs io.Writer) int {
	r, err := os.Open(path)
	if err != nil {
		_, _ = fmt.Fprintln(errs, err)
		return 2
	}
	defer func() { _ = r.Close() }()
	t, err := trace.Read(r)
	if err != nil {
		_, _ = fmt.Fprintf(errs, "%s: %v\n", path, err)
		return 2
	}
	_, _ = fmt.Fprintf(out, "trace %s, seed %d\n", t.Fleet.Trace, t.Fleet.Seed)
	violations, err := Run(ctx, t, out)
	if err != nil {
		_, _ = fmt.Fprintf(errs, "%s: %v\n", path, err)
		return 1
	}
	for _, v := range violations {
		_, _ = fmt.Fprintf(out, "VIOLATION %s\n", v)
	}
	if len(violations) > 0 {
		return 1
	}
	_, _ = fmt.Fprintln(out, "all outcomes and invariants hold")
	return 0
}
