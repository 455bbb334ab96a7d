// Package replay plays a trace against a fleet and checks its outcomes and the
// invariants of the system.
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

// distanceBetweenDataCentres is the one-way delay in replays.
const distanceBetweenDataCentres = 500 * time.Microsecond

// Run replays one trace and returns the violations found. The error reports
// that the trace could not be played.
func Run(ctx context.Context, t *trace.Trace, progress io.Writer) ([]string, error) {
	spec := t.Fleet
	spec.Distances.DataCentres = distanceBetweenDataCentres
	f, err := fleet.Start(ctx, spec)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	p := &player{
		trace:  t,
		fleet:  f,
		random: rand.New(rand.NewPCG(uint64(spec.Seed), 0)),
		jobs:   make(map[string]*job),
		stops:  make(map[string]time.Time),
		out:    progress,
	}
	p.play(ctx)
	if err := ctx.Err(); err != nil {
		return nil, err // a run cut short has no outcomes to check
	}
	return p.check(), nil
}

// player plays one trace.
type player struct {
	trace  *trace.Trace
	fleet  *fleet.Fleet
	random *rand.Rand
	begun  time.Time
	out    io.Writer
	waits  sync.WaitGroup

	mu         sync.Mutex
	jobs       map[string]*job
	stopFaults []string
	stops      map[string]time.Time
}

func (p *player) play(ctx context.Context) {
	p.begun = time.Now()
	for _, e := range p.trace.Events {
		if !p.sleepUntil(ctx, trace.AtMS(e)) {
			return
		}
		p.do(ctx, e)
	}
	p.sleepUntil(ctx, p.trace.Fleet.UntilMS)
	p.waits.Wait()
}

func (p *player) sleepUntil(ctx context.Context, atMS int) bool {
	wait := time.Until(p.begun.Add(time.Duration(atMS) * time.Millisecond))
	select {
	case <-ctx.Done():
		return false
	case <-time.After(wait):
		return true
	}
}

// after runs f in the background once a number of milliseconds has passed.
func (p *player) after(ms int, f func()) {
	p.background(func() {
		time.Sleep(time.Duration(ms) * time.Millisecond)
		f()
	})
}

func (p *player) background(f func()) {
	p.waits.Go(f)
}

// via returns the entry of a name, or one chosen at random.
func (p *player) via(name string) *fleet.Node {
	if name != "" {
		return p.fleet.Node(name)
	}
	return p.fleet.Entries[p.random.IntN(len(p.fleet.Entries))]
}

func (p *player) do(ctx context.Context, e trace.Event) {
	switch e := e.(type) {
	case *trace.Submit:
		p.submit(ctx, e)
	case *trace.Resubmit:
		p.resubmit(ctx, e)
	case *trace.Cancel:
		p.cancel(ctx, e)
	case *trace.Change:
		via := p.via(e.Via)
		p.background(func() { p.change(ctx, e, via) })
	case *trace.NodeEvent:
		p.nodeEvent(e)
	case *trace.Pause:
		n := p.fleet.Node(e.Node)
		p.background(func() { n.Pause(time.Duration(e.ForMS) * time.Millisecond) })
	case *trace.Partition:
		p.after(e.ForMS, p.fleet.Partition(e.A, e.B))
	case *trace.Store:
		p.fleet.Store.SetMode(storeMode(e.Mode))
		p.after(e.ForMS, func() { p.fleet.Store.SetMode(standinstore.Up) })
	case *trace.TargetFault:
		target := p.fleet.Target(e.Name)
		target.SetFault(standintarget.Mode(e.Mode), e.Factor)
		p.after(e.ForMS, func() { target.SetFault(standintarget.OK, 0) })
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
		p.fleet.KeepCounters(n)
		n.Kill()
	case "stop":
		p.stops[n.Name] = time.Now()
		p.background(func() { p.stop(n) })
	case "start":
		if err := n.Start(); err != nil {
			p.note("start of %s: %v", n.Name, err)
		}
	}
}

// stop stops a node gracefully. What was in flight through it must end with an
// answer; the caller's side of that is checked with the jobs.
func (p *player) stop(n *fleet.Node) {
	p.fleet.KeepCounters(n)
	if !n.Stop() {
		p.fault(fmt.Sprintf("planned stop of %s did not end", n.Name))
	}
}

func (p *player) fault(violation string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopFaults = append(p.stopFaults, violation)
}

func (p *player) change(ctx context.Context, e *trace.Change, via *fleet.Node) {
	kind, out := changeOf(e.Do)
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.trace.Fleet.UntilMS)*time.Millisecond)
	defer cancel()
	_, err := p.fleet.Config(via).Change(ctx, connect.NewRequest(&apiv1.ChangeRequest{
		ChangeId: fmt.Sprintf("%s-%s-%d", e.Do, e.Name, e.AtMS),
		By:       fleet.Operator,
		Kind:     kind,
		Name:     e.Name,
		AnyBase:  true,
		Change:   &apiv1.ChangeRequest_SetOut{SetOut: &apiv1.SetOut{Out: out}},
	}))
	if err != nil {
		p.note("%s %s: %v", e.Do, e.Name, err)
		return
	}
	p.note("%s %s accepted", e.Do, e.Name)
}

func changeOf(do string) (kind apiv1.ObjectKind, out bool) {
	switch do {
	case "data_centre_out", "data_centre_in":
		return apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE, do == "data_centre_out"
	case "target_leave", "target_return":
		return apiv1.ObjectKind_OBJECT_KIND_TARGET, do == "target_leave"
	default:
		return apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, do == "department_leave"
	}
}

// note writes a line with the time since the start.
func (p *player) note(format string, args ...any) {
	at := time.Since(p.begun).Milliseconds()
	_, _ = fmt.Fprintf(p.out, "%6d ms  %s\n", at, fmt.Sprintf(format, args...))
}

// File replays the trace in a file. Its result is the exit status: 0 when all
// holds, 1 when not, 2 when the file is not valid.
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
