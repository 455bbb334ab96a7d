package runs

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/process/load"
	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

// Options configure a Keeper.
type Options struct {
	// Name, Incarnation and DataCentre are those of this agent.
	Name        string
	Incarnation uint64
	DataCentre  string
	Log         zerolog.Logger
	Counters    *metrics.Counters
	// Dial returns the target of an announcement.
	Dial func(Announcement) Target
	// Announced is called, without blocking, when the target or its state is
	// new; nil for nobody.
	Announced func(Announcement)
	// TargetLease is how long a target runs what is not renewed.
	TargetLease time.Duration
	// Retired is called once nothing runs for an entry that is let go; nil for nobody.
	Retired func(address string)
}

// Keeper holds the runs at one target. It is safe for concurrent use.
type Keeper struct {
	opts  Options
	epoch time.Time

	mu     sync.Mutex
	life   *lifetime
	policy peer.Policy
	owners map[uint64]*owner
	runs   map[task.Key]*run
	// results counts the results sent.
	results uint64
	// stopping is set once the process is to end: nothing more is started.
	stopping bool
	// swept is when the latest sweep was, resumed when this process went on after a
	// pause.
	swept, resumed time.Time
}

// lifetime is one incarnation of the target.
type lifetime struct {
	Announcement
	target Target
	ctx    context.Context
	cancel context.CancelFunc
	// settling has a value while an attempt without an answer is looked for.
	settling chan struct{}
	// token fences orders: the target ignores all with a lower one.
	token uint64
	// lastSeen is the highest end that has been taken note of.
	lastSeen uint64
	// looked is set once the target has said what runs.
	looked bool
	// answered is when the latest answer came, renewed when the latest order
	// was sent that renews the target's lease.
	answered time.Time
	renewed  time.Time
	health   load.Health
	// prober is the incarnation of the entry that may send the next probe, offered
	// when it was chosen.
	prober  uint64
	offered time.Duration
	// doubted is set while the latest judgement logged is that it is not sound.
	doubted bool
	// mute is set while calls are not answered.
	mute bool
	// displaced is set once another lifetime answers, or none: the next
	// announcement is then that of the present one, even if clocks were set back
	// before its start.
	displaced bool
}

// phase is the state of a run.
type phase int

const (
	phaseStarting phase = iota
	phaseRunning
	phaseStopping
	// phaseAstray: its order may have reached, or may yet reach, a later lifetime
	// of the target.
	phaseAstray
)

// run is one attempt at the target.
type run struct {
	attempt task.Attempt
	// owner is the incarnation of the entry that sent it; 0 if not known.
	owner uint64
	need  task.Resources
	phase phase
	// since is when it was last confirmed by the answer to an order.
	since time.Time
	// began is when its order was taken, on the clock of leases.
	began time.Duration
	// stop is set when it is to be stopped as soon as it has started.
	stop     bool
	expected time.Duration
	percent  int
	pace     load.RunPace
}

// New returns a keeper without a target.
func New(opts Options) *Keeper {
	return &Keeper{
		opts:   opts,
		epoch:  time.Now(),
		owners: make(map[uint64]*owner),
		runs:   make(map[task.Key]*run),
	}
}

// clock returns the time since the start of the process, the time of leases.
func (k *Keeper) clock() time.Duration { return time.Since(k.epoch) }

// Announce takes an announcement of the target. It reports whether it was taken
// for the present lifetime.
func (k *Keeper) Announce(a Announcement) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch l := k.life; {
	case l == nil, a.Incarnation > l.Incarnation:
		k.beginLocked(a)
	case l.displaced && (a.Incarnation != l.Incarnation || a.ID != l.ID):
		k.beginLocked(a)
	case a.Incarnation < l.Incarnation, a.ID != l.ID:
		k.opts.Log.Warn().Str("target", a.ID).Int64("incarnation", a.Incarnation).
			Int64("known", l.Incarnation).Msg("announcement of a past lifetime ignored")
		return false
	case a.Sequence < l.Sequence:
		return true
	default:
		k.updateLocked(a)
	}
	return true
}

// beginLocked replaces the target by a new lifetime, which runs nothing that
// the former one ran.
func (k *Keeper) beginLocked(a Announcement) {
	if k.life != nil {
		k.endLocked("new lifetime", true)
	}
	ctx, cancel := context.WithCancel(context.Background())
	k.life = &lifetime{
		Announcement: a,
		target:       k.opts.Dial(a),
		ctx:          ctx,
		cancel:       cancel,
		token:        uint64(time.Now().UnixMilli()),
		settling:     make(chan struct{}, 1),
		answered:     time.Now(),
		renewed:      time.Now(),
	}
	k.opts.Log.Info().Str("target", a.ID).Int64("incarnation", a.Incarnation).Str("address", a.Address).
		Str("pool", a.Pool).Int64("cpu", a.Capacity.CPU).Strs("labels", a.Labels).Bool("draining", a.Draining).
		Msg("target announced")
	go k.look(k.life)
	k.noteLocked()
}

func (k *Keeper) noteLocked() {
	if k.opts.Announced != nil {
		k.opts.Announced(k.life.Announcement)
	}
}

func (k *Keeper) updateLocked(a Announcement) {
	changed := a.Draining != k.life.Draining || a.Capacity != k.life.Capacity
	k.life.Announcement = a
	if changed {
		k.opts.Log.Info().Str("target", a.ID).Bool("draining", a.Draining).Int64("cpu", a.Capacity.CPU).
			Uint64("sequence", a.Sequence).Msg("target changed")
		k.noteLocked()
		k.describeLocked()
	}
}

// Leave takes the target's word that it ends; incarnation is 0 if it is not said.
func (k *Keeper) Leave(id string, incarnation int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.life == nil || k.life.ID != id || (incarnation != 0 && incarnation < k.life.Incarnation) {
		return
	}
	// A later process of this agent must not take it for one that still serves.
	k.life.Draining = true
	k.noteLocked()
	k.endLocked("left", false)
}

// endLocked ends the present lifetime: what ran there runs no longer. An order on
// its way may still reach a target that is reborn.
func (k *Keeper) endLocked(why string, reborn bool) {
	l := k.life
	k.opts.Log.Info().Str("target", l.ID).Int64("incarnation", l.Incarnation).Str("reason", why).
		Int("runs", len(k.runs)).Msg("target ended")
	l.cancel()
	l.target.Close()
	for _, r := range k.runs {
		switch {
		case reborn && r.phase == phaseStarting:
			k.endAstrayLocked(r)
		case reborn && r.phase == phaseAstray:
		default:
			k.finishLocked(r, peer.OutcomeLost, peer.RefusalNone)
		}
	}
	k.life = nil
	k.describeLocked()
}

// availableLocked reports whether the target may be given work.
func (k *Keeper) availableLocked() bool {
	l := k.life
	return l != nil && l.looked && !l.Draining && !l.mute && !l.displaced && !k.stopping
}

// freeLocked returns the room left. What is being stopped still counts.
func (k *Keeper) freeLocked() task.Resources {
	if k.life == nil {
		return task.Resources{}
	}
	free := k.life.Capacity
	for _, r := range k.runs {
		free = free.Sub(r.need)
	}
	return free
}

// roomLocked returns the room as an entry sees it.
func (k *Keeper) roomLocked(o *owner) *peer.Room {
	room := &peer.Room{Free: k.freeLocked()}
	if l := k.life; l != nil && !l.health.Sound() {
		room.Probation = true
		room.Probe = l.prober == o.incarnation && l.health.MayProbe(k.clock())
	}
	return room
}

// descriptionLocked returns the target as an entry sees it.
func (k *Keeper) descriptionLocked(o *owner) *peer.Target {
	if k.life == nil {
		return &peer.Target{}
	}
	a := k.life.Announcement
	return &peer.Target{
		ID:          a.ID,
		Incarnation: a.Incarnation,
		Pool:        a.Pool,
		DataCentre:  a.DataCentre,
		Capacity:    a.Capacity,
		Labels:      a.Labels,
		Available:   k.availableLocked() && !o.retiring,
	}
}

// describeLocked tells all entries of a change of the target.
func (k *Keeper) describeLocked() {
	for _, o := range k.owners {
		if o.link != nil {
			o.link.Send(peer.Frame{Target: k.descriptionLocked(o)})
		}
	}
}

// Malformed notes a report that names no target to use.
func (k *Keeper) Malformed(id string, err error) {
	k.opts.Counters.Counter("announcements_malformed").Inc(1)
	k.opts.Log.Warn().Err(err).Str("target", id).Msg("announcement not read")
}

// takePolicyLocked takes the operators' wishes as an entry knows them,
// if they are newer than what was known, and passes them on to the others.
func (k *Keeper) takePolicyLocked(p *peer.Policy, from string) {
	if p.Revision <= k.policy.Revision {
		return
	}
	k.opts.Log.Info().Uint64("revision", p.Revision).Uint64("former", k.policy.Revision).
		Uint64("config_version", p.ConfigVersion).Strs("out", p.Out).Str("from", from).Msg("policy learned")
	k.policy = *p
	for _, o := range k.owners {
		if o.link != nil {
			o.link.Send(peer.Frame{Policy: p})
		}
	}
}

// isOutLocked reports whether the target's data centre is out of service.
func (k *Keeper) isOutLocked() bool {
	for _, dc := range k.policy.Out {
		if dc == k.life.DataCentre {
			return true
		}
	}
	return false
}

// Stop starts nothing more, and returns once nothing runs or ctx ends.
func (k *Keeper) Stop(ctx context.Context) {
	k.mu.Lock()
	k.stopping = true
	k.describeLocked()
	k.mu.Unlock()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		k.mu.Lock()
		left := len(k.runs)
		k.mu.Unlock()
		if left == 0 {
			return
		}
		select {
		case <-ctx.Done():
			k.opts.Log.Warn().Int("runs", left).Msg("stopping with runs left to the next process")
			return
		case <-ticker.C:
		}
	}
}
