package runs

import (
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/peer"
	"github.com/rosemarybay/rosemarybay/internal/request/task"
)

const (
	// sweepInterval is the time between looks at the leases of entries.
	sweepInterval = 10 * time.Millisecond
	// orphanLease is how long a run that no entry has claimed is kept.
	orphanLease = 400 * time.Millisecond
	// ownerMemory is how long the results for an entry without a link are kept.
	ownerMemory = 5 * time.Second
	// pauseLimit is the time between sweeps above which this process has been paused,
	// and resumeGrace what entries are then given to be heard again: their frames have
	// waited meanwhile. With the target's lease it stays below the time after which a
	// caller of a dead entry asks another one.
	pauseLimit  = 100 * time.Millisecond
	resumeGrace = 100 * time.Millisecond
	// probeOffer is how long one entry may use its offer of a probe.
	probeOffer = 100 * time.Millisecond
	// slowRun is the pace below which an entry is told of a run.
	slowRun = 0.5
	// roomIntervalPerLink spaces the updates of room to entries that have no
	// part in the change, so that their number does not grow with the square
	// of the fleet. While amplePercent of the room is free, each entry finds a
	// place with an older view as well, and updates are rarer by ampleFactor.
	roomIntervalPerLink = 3 * time.Millisecond
	amplePercent        = 35
	ampleFactor         = 4
)

// owner is one incarnation of an entry, as the one that sent runs.
type owner struct {
	name        string
	incarnation uint64
	address     string
	link        *peer.Link
	// heard is the latest time of this process that the entry has echoed: it
	// lived after it.
	heard time.Duration
	// lost is when the link broke; zero while there is one.
	lost time.Time
	// results are kept until the entry has taken them.
	results []peer.Result
	// accepted counts the starts of the present link.
	accepted uint64
	// sent is when the latest frame went out.
	sent time.Time
	// attempts counts its runs.
	attempts int
	// roomDirty is set when the room has changed since the latest frame.
	roomDirty bool
	// echo is the latest Sent that arrived from the entry.
	echo int64
	// retiring is set while the entry is let go: it may send nothing new. released is
	// set once nothing of it is left here.
	retiring, released bool
}

// IsReady reports whether the target has said what runs there.
func (k *Keeper) IsReady() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.life != nil && k.life.looked
}

// Links returns the number of entries that are linked.
func (k *Keeper) Links() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, o := range k.owners {
		if o.link != nil {
			n++
		}
	}
	return n
}

// IsLinked reports whether the entry at an address is linked.
func (k *Keeper) IsLinked(address string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, o := range k.owners {
		if o.link != nil && o.address == address {
			return true
		}
	}
	return false
}

// Connect attaches a link to the entry that its Hello names, and tells it what
// runs here for it.
func (k *Keeper) Connect(hello *peer.Hello, address string, link *peer.Link) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := k.owners[hello.Incarnation]
	if o == nil {
		o = &owner{name: hello.Name, incarnation: hello.Incarnation}
		k.owners[hello.Incarnation] = o
	}
	o.address, o.link, o.lost, o.accepted = address, link, time.Time{}, 0
	o.retiring, o.released = false, false
	o.heard = k.clock()
	k.opts.Log.Info().Str("entry", o.name).Uint64("incarnation", o.incarnation).
		Int("runs", o.attempts).Int("results", len(o.results)).Msg("entry linked")
	link.Send(peer.Frame{
		Hello:   &peer.Hello{Name: k.opts.Name, Incarnation: k.opts.Incarnation, DataCentre: k.opts.DataCentre, Runs: k.runsForLocked(o)},
		Target:  k.descriptionLocked(o),
		Results: append([]peer.Result(nil), o.results...),
		Policy:  k.policyLocked(),
	})
}

func (k *Keeper) policyLocked() *peer.Policy {
	if k.policy.Revision == 0 {
		return nil
	}
	p := k.policy
	return &p
}

// runsForLocked returns the runs of o and those of no known entry.
func (k *Keeper) runsForLocked(o *owner) []task.Attempt {
	var attempts []task.Attempt
	for _, r := range k.runs {
		if r.owner == o.incarnation || r.owner == 0 {
			attempts = append(attempts, r.attempt)
		}
	}
	return attempts
}

// Disconnect detaches a link that has broken.
func (k *Keeper) Disconnect(incarnation uint64, link *peer.Link, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := k.owners[incarnation]
	if o == nil || o.link != link {
		return
	}
	o.link, o.lost = nil, time.Now()
	k.opts.Log.Info().Err(err).Str("entry", o.name).Uint64("incarnation", incarnation).
		Int("runs", o.attempts).Msg("entry lost")
}

// Stamp completes a frame to an entry in the instant of sending.
func (k *Keeper) Stamp(incarnation uint64, f *peer.Frame) {
	k.mu.Lock()
	defer k.mu.Unlock()
	f.Sent = int64(k.clock())
	o := k.owners[incarnation]
	if o == nil {
		return
	}
	o.sent = time.Now()
	o.roomDirty = false
	f.Room = k.roomLocked(o)
	f.Accepted = o.accepted
	f.Echo = o.echo
}

// Receive handles a frame of an entry.
func (k *Keeper) Receive(incarnation uint64, f *peer.Frame) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o := k.owners[incarnation]
	if o == nil {
		return
	}
	o.heard = max(o.heard, time.Duration(f.Echo))
	o.echo = f.Sent
	o.taken(f.Taken)
	if f.Policy != nil {
		k.takePolicyLocked(f.Policy, o.name)
	}
	if f.Claims != nil {
		k.claimLocked(o, f.Claims)
	}
	for _, s := range f.Starts {
		o.accepted++
		k.startLocked(o, s)
	}
	for _, a := range f.Stops {
		k.stopLocked(a, "ordered by its entry")
	}
	k.cancelJobsLocked(o, f.CancelJobs)
}

// taken forgets the results that the entry has.
func (o *owner) taken(number uint64) {
	n := 0
	for n < len(o.results) && o.results[n].Number <= number {
		n++
	}
	o.results = o.results[n:]
}

// claimLocked gives runs of no known entry to the one that claims them.
func (k *Keeper) claimLocked(o *owner, c *peer.Claims) {
	for _, claim := range c.Attempts {
		a := claim.Attempt
		r := k.runs[a.Key]
		if r == nil || r.attempt != a || r.owner != 0 {
			continue
		}
		r.owner, r.need = o.incarnation, claim.Need
		o.attempts++
		k.opts.Log.Info().Str("job", a.Key.Job).Stringer("task", a.Key).Uint64("run", a.Run).
			Str("entry", o.name).Msg("run claimed")
	}
}

// cancelJobsLocked ends jobs that were cancelled at an entry which does not hold them,
// and may have no link with the one that does.
func (k *Keeper) cancelJobsLocked(from *owner, jobs []string) {
	if len(jobs) == 0 {
		return
	}
	for _, o := range k.owners {
		if o != from && o.link != nil {
			o.link.Send(peer.Frame{CancelJobs: jobs})
		}
	}
	for _, job := range jobs {
		k.cancelJobLocked(job)
	}
}

// cancelJobLocked stops the runs of a job, whichever entry sent them.
func (k *Keeper) cancelJobLocked(job string) {
	for key, r := range k.runs {
		if key.Job == job {
			k.stopLocked(r.attempt, "job cancelled")
		}
	}
}

// Sweep ends the runs of entries that are no longer heard, and sends heartbeats.
// It is called each sweepInterval.
func (k *Keeper) Sweep() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	clock := k.clock()
	k.notePauseLocked(now)
	k.offerProbeLocked(clock)
	for incarnation, o := range k.owners {
		if why, over := o.leaseOver(clock, now); over && o.attempts > 0 && now.Sub(k.resumed) > resumeGrace {
			k.stopOwnerLocked(incarnation, why)
		}
		if !o.lost.IsZero() && o.attempts == 0 && now.Sub(o.lost) > ownerMemory {
			delete(k.owners, incarnation)
			continue
		}
		k.heartbeatLocked(o, now)
	}
	k.retireLocked()
	for _, r := range k.runs {
		if r.owner == 0 && now.Sub(r.since) > orphanLease {
			k.stopLocked(r.attempt, "claimed by no entry")
		}
	}
}

// notePauseLocked tells a silence of all entries from a pause of this process.
func (k *Keeper) notePauseLocked(now time.Time) {
	if paused := now.Sub(k.swept); !k.swept.IsZero() && paused > pauseLimit {
		k.resumed = now
		k.opts.Counters.Counter("pauses").Inc(1)
		k.opts.Log.Warn().Dur("paused", paused).Int("runs", len(k.runs)).Msg("process was paused")
	}
	k.swept = now
}

// offerProbeLocked lets one entry after the other send a probe while one is due: all at
// once would send as many tasks to a target that may fail them.
func (k *Keeper) offerProbeLocked(clock time.Duration) {
	l := k.life
	if l == nil || !l.health.MayProbe(clock) || (l.prober != 0 && clock-l.offered < probeOffer) {
		return
	}
	// The order of a map is random.
	for incarnation, o := range k.owners {
		if o.link != nil && incarnation != l.prober {
			l.prober, l.offered = incarnation, clock
			o.link.Send(peer.Frame{})
			return
		}
	}
}

func (o *owner) leaseOver(clock time.Duration, now time.Time) (string, bool) {
	switch {
	case clock-o.heard > peer.OwnerLease:
		return "entry silent", true
	case !o.lost.IsZero() && now.Sub(o.lost) > peer.BrokenLinkLease:
		return "link to entry broken", true
	}
	return "", false
}

func (k *Keeper) stopOwnerLocked(incarnation uint64, why string) {
	for _, r := range k.runs {
		if r.owner == incarnation {
			k.stopLocked(r.attempt, why)
		}
	}
}

func (k *Keeper) heartbeatLocked(o *owner, now time.Time) {
	if o.link == nil {
		return
	}
	progress := k.progressLocked(o)
	interval := peer.IdleHeartbeat
	switch {
	case o.roomDirty:
		interval = min(k.roomIntervalLocked(), peer.BusyHeartbeat)
	case len(progress) > 0:
		interval = peer.SlowHeartbeat
	case o.attempts > 0:
		interval = peer.BusyHeartbeat
	}
	if now.Sub(o.sent) < interval {
		return
	}
	o.sent = now
	o.link.Send(peer.Frame{Progress: progress})
}

func (k *Keeper) roomIntervalLocked() time.Duration {
	interval := time.Duration(len(k.owners)) * roomIntervalPerLink
	if l := k.life; l != nil && k.freeLocked().CPU*100 >= l.Capacity.CPU*amplePercent {
		interval *= ampleFactor
	}
	return interval
}

// progressLocked returns the runs of o that advance slowly or not at all.
func (k *Keeper) progressLocked(o *owner) []peer.Progress {
	var progress []peer.Progress
	for _, r := range k.runs {
		pace, known := r.pace.Pace()
		if r.owner == o.incarnation && r.phase == phaseRunning && known && pace < slowRun {
			progress = append(progress, peer.Progress{Attempt: r.attempt, Percent: r.percent, Pace: int(pace * 100)})
		}
	}
	return progress
}

// Run sweeps until done is closed; then the target is let go.
func (k *Keeper) Run(done <-chan struct{}) {
	defer k.letGo()
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
			k.Sweep()
		}
	}
}

// letGo ends all calls of the target. What runs there is left to its lease.
func (k *Keeper) letGo() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.life != nil {
		k.life.cancel()
		k.life.target.Close()
	}
}
