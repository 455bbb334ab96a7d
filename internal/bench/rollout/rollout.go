// Package rollout measures changes of the configuration under load: how soon a
// data centre taken out gets no more starts, how soon it is used again, and how
// much work is done meanwhile.
package rollout

import (
	"context"
	"fmt"
	"io"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/bench/demo"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	standinstore "github.com/rosemarybay/rosemarybay/internal/standin/store"
)

// Fault names what goes wrong in each round.
type Fault string

// The faults.
const (
	None        Fault = ""
	StoreDown   Fault = "store_down"
	StoreSlow   Fault = "store_slow"
	LoseAnswers Fault = "lose_answers"
	EntryPaused Fault = "entry_paused"
	Partition   Fault = "partition"
)

// Options configure a run.
type Options struct {
	Rounds int
	Seed   int64
	Fault  Fault
	// Hold is how long a data centre stays out, and then in, in each round; with
	// neither rounds nor an outage, the length of the run.
	Hold time.Duration
	// Outage is the length of a store outage under load, after the rounds.
	Outage time.Duration
	// Load is the offered load as a share of all slots; 0 keeps all slots busy.
	Load float64
}

const (
	warmUp = time.Second
	// changeTimeout bounds one change.
	changeTimeout = 20 * time.Second
	// faultHold is added to the time a data centre is out with a fault.
	faultHold = 4500 * time.Millisecond
	// pauseTime is longer than a permit and shorter than an entry's lease.
	pauseTime = 3500 * time.Millisecond
	// faultLead is the time between a fault and the change.
	faultLead = 200 * time.Millisecond
	// pollInterval is the time between questions whether a change is in force.
	pollInterval = 50 * time.Millisecond
	// maxWindow bounds the time measured before and after an outage.
	maxWindow = 10 * time.Second
)

// Validate returns the first fault of the options.
func (o Options) Validate() error {
	switch o.Fault {
	case None, StoreDown, StoreSlow, LoseAnswers, EntryPaused, Partition:
	default:
		return eris.Errorf("unknown fault %q", o.Fault)
	}
	if o.Rounds < 0 || o.Hold <= 0 || o.Load < 0 || o.Outage < 0 {
		return eris.New("rounds, hold, load and outage must not be negative")
	}
	return nil
}

// window returns the time measured before and after the outage.
func (o Options) window() time.Duration { return min(o.Outage, maxWindow) }

// round is the times of one round.
type round struct {
	dataCentre string
	asked      time.Time
	out        time.Time // accepted
	inForce    time.Time // zero when not waited for
	askedIn    time.Time // the return was asked for
	in         time.Time // the return was accepted
	end        time.Time
}

type run struct {
	options Options
	fleet   *fleet.Fleet
	load    *load
	rounds  []round
	changes int
	outage  [2]time.Time
	before  map[string]int64 // calls of the store at the start
	calls   map[string]int64
	began   time.Time
	played  time.Duration
}

// Run plays the rounds, prints the measures and reports whether they reach the
// targets.
func Run(ctx context.Context, o Options, out io.Writer) (bool, error) {
	if err := o.Validate(); err != nil {
		return false, err
	}
	spec := demo.Spec()
	spec.Trace, spec.Seed = "rollout", o.Seed
	f, err := fleet.Start(ctx, spec)
	if err != nil {
		return false, err
	}
	defer f.Close()
	r := &run{options: o, fleet: f, load: newLoad(f, o.Seed, o.Load)}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	r.load.start(loadCtx)
	r.before, r.began = f.Store.Calls(), time.Now()
	if err := r.play(ctx); err != nil {
		return false, err
	}
	stop()
	r.load.wait()
	return r.report(out), nil
}

func (r *run) play(ctx context.Context) error {
	sleep(ctx, warmUp)
	for i := range r.options.Rounds {
		dc := r.fleet.Spec.DataCentres[i%len(r.fleet.Spec.DataCentres)]
		if err := r.playRound(ctx, dc); err != nil {
			return err
		}
	}
	if r.options.Outage > 0 {
		r.playOutage(ctx)
	}
	if r.options.Rounds == 0 && r.options.Outage == 0 {
		sleep(ctx, r.options.Hold)
	}
	r.calls, r.played = r.fleet.Store.Calls(), time.Since(r.began)
	return ctx.Err()
}

// playOutage runs the load before, in and after an outage of the store.
func (r *run) playOutage(ctx context.Context) {
	sleep(ctx, r.options.window())
	r.fleet.Store.SetMode(standinstore.Down)
	r.outage[0] = time.Now()
	sleep(ctx, r.options.Outage)
	r.outage[1] = time.Now()
	r.fleet.Store.SetMode(standinstore.Up)
	sleep(ctx, r.options.window())
}

func (r *run) playRound(ctx context.Context, dc string) error {
	t := round{dataCentre: dc}
	heal := r.breakBefore(dc)
	if r.options.Fault != None {
		sleep(ctx, faultLead)
	}
	t.asked = time.Now()
	accepted, err := r.change(ctx, dc, true)
	if err != nil {
		return err
	}
	t.out = time.Now()
	if r.options.Fault == StoreDown {
		r.fleet.Store.SetMode(standinstore.Down)
	}
	sleep(ctx, r.options.Hold)
	if r.options.Fault != None {
		t.inForce = r.waitInForce(ctx, dc, accepted)
		sleep(ctx, time.Until(t.out.Add(faultHold)))
	}
	heal()
	t.askedIn = time.Now()
	if _, err := r.change(ctx, dc, false); err != nil {
		return err
	}
	t.in = time.Now()
	sleep(ctx, r.options.Hold)
	t.end = time.Now()
	r.rounds = append(r.rounds, t)
	return ctx.Err()
}

// breakBefore sets the fault of a round that starts before the change.
func (r *run) breakBefore(dc string) (heal func()) {
	f := r.fleet
	setUp := func() { f.Store.SetMode(standinstore.Up) }
	switch r.options.Fault {
	case StoreDown:
		return setUp
	case StoreSlow:
		f.Store.SetMode(standinstore.Slow)
		return setUp
	case LoseAnswers:
		f.Store.SetMode(standinstore.LoseAnswers)
		return setUp
	case EntryPaused:
		go f.Node(dc + "-entry-1").Pause(pauseTime)
	case Partition:
		others := []string{fleet.StoreNode}
		for _, other := range f.Spec.DataCentres {
			if other != dc {
				others = append(others, other)
			}
		}
		return f.Partition([]string{dc}, others)
	}
	return func() {}
}

// via returns an entry outside a data centre.
func (r *run) via(dc string) *fleet.Node {
	for _, n := range r.fleet.Entries {
		if n.DataCentre != dc {
			return n
		}
	}
	return r.fleet.Entries[0]
}

// change takes a data centre out or in and returns the accepted revision.
func (r *run) change(ctx context.Context, dc string, out bool) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	r.changes++
	response, err := r.fleet.Config(r.via(dc)).Change(ctx, connect.NewRequest(&apiv1.ChangeRequest{
		ChangeId: fmt.Sprintf("rollout-%d", r.changes),
		By:       fleet.Operator,
		Kind:     apiv1.ObjectKind_OBJECT_KIND_DATA_CENTRE,
		Name:     dc,
		AnyBase:  true,
		Change:   &apiv1.ChangeRequest_SetOut{SetOut: &apiv1.SetOut{Out: out}},
	}))
	if err != nil {
		return 0, eris.Wrapf(err, "change of %s", dc)
	}
	return response.Msg.GetAcceptedRevision(), nil
}

// waitInForce returns when a revision is reported in force, or a zero time when
// it is not within changeTimeout.
func (r *run) waitInForce(ctx context.Context, dc string, revision uint64) time.Time {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		request := connect.NewRequest(&apiv1.GetInForceRequest{Revision: revision})
		response, err := r.fleet.Config(r.via(dc)).GetInForce(ctx, request)
		if err == nil && response.Msg.GetInForce().GetInForce() {
			return time.Now()
		}
		sleep(ctx, pollInterval)
	}
	return time.Time{}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
