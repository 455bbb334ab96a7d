package dispatch

import (
	"context"
	"time"

	peerv1 "github.com/rosemarybay/rosemarybay/api/peer/v1"
	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/version/config"
)

const (
	// maxAsking bounds the requests for slots in flight for one class.
	maxAsking = 8
	// maxAskingAll bounds them for all classes, below the streams of a link.
	maxAskingAll = 512
	// brokerWait is how long a broker may hold a request without a free slot.
	brokerWait = 200 * time.Millisecond
	// brokerTurn is the same while there are other brokers to ask.
	brokerTurn = 20 * time.Millisecond
	// brokerGrace is added to it before a broker without an answer is passed
	// over for brokerBackoff.
	brokerGrace   = 150 * time.Millisecond
	brokerBackoff = 2 * time.Second
)

// Slots reaches the brokers of targets.
type Slots interface {
	// Acquire asks a broker for slots. It blocks until the broker has one or
	// the time in the wish has passed.
	Acquire(ctx context.Context, broker uint64, wish *peerv1.AcquireSlots) (*peerv1.AcquiredSlots, error)
	// TryAcquire asks without blocking; nil when the broker is another process.
	TryAcquire(broker uint64, wish *peerv1.AcquireSlots) *peerv1.AcquiredSlots
	// Return gives back slots and reports ended tasks. It does not block.
	Return(broker uint64, m *peerv1.ReturnSlots)
}

// brokers counts the targets of each broker.
type brokers struct {
	targets map[uint64]int
	// silent holds the brokers that did not answer, until they are asked again.
	silent map[uint64]time.Time
}

func newBrokers() brokers {
	return brokers{targets: make(map[uint64]int), silent: make(map[uint64]time.Time)}
}

// change moves a target from one broker to another; 0 is none.
func (b *brokers) change(from, to uint64) {
	if from != 0 {
		if b.targets[from]--; b.targets[from] == 0 {
			delete(b.targets, from)
			delete(b.silent, from)
		}
	}
	if to != 0 {
		b.targets[to]++
	}
}

func (b *brokers) isSilent(broker uint64, now time.Time) bool {
	return now.Before(b.silent[broker])
}

// choose returns the broker to ask and how many can be asked. The one with the
// most targets comes first; turn selects the following ones.
func (b *brokers) choose(turn int, now time.Time) (broker uint64, count int) {
	for id := range b.targets {
		if !b.isSilent(id, now) {
			count++
		}
	}
	if count == 0 {
		return 0, 0
	}
	taken := make(map[uint64]bool, 1)
	for range turn%count + 1 {
		broker = 0
		for id, n := range b.targets {
			if taken[id] || b.isSilent(id, now) {
				continue
			}
			if broker == 0 || n > b.targets[broker] || (n == b.targets[broker] && id < broker) {
				broker = id
			}
		}
		taken[broker] = true
	}
	return broker, count
}

// pump finds slots for waiting tasks; the caller holds d.mu.
func (d *Dispatcher) pump() {
	if d.queue.len() == 0 || !d.opts.IsFresh() {
		return
	}
	now := time.Now()
	snapshot := d.opts.Config.Load()
	for _, l := range d.queue.lines {
		if d.ask(l, now) {
			continue
		}
		d.placeDirectly(l, snapshot, now)
	}
}

// ask requests slots for the tasks of a line that no request covers yet. It
// reports false when no broker can be asked.
func (d *Dispatcher) ask(l *line, now time.Time) bool {
	for {
		need := l.tasks.Len() - l.wanted
		if need <= 0 || l.asking >= maxAsking || d.asking >= maxAskingAll {
			return true
		}
		broker, count := d.brokers.choose(l.turn, now)
		if broker == 0 {
			return false
		}
		wish := d.wish(l, need, count, now)
		if got := d.opts.Slots.TryAcquire(broker, wish); len(got.GetSlots()) > 0 {
			if d.use(l, broker, got, now) > 0 {
				continue
			}
		}
		l.asking++
		d.asking++
		l.wanted += need
		go d.acquire(l, broker, wish)
		return true
	}
}

func (d *Dispatcher) wish(l *line, tasks, brokers int, now time.Time) *peerv1.AcquireSlots {
	wait := brokerWait
	if brokers > 1 {
		wait = brokerTurn
	}
	w := &peerv1.AcquireSlots{
		Entry:      d.opts.Sender,
		DataCentre: d.opts.DataCentre,
		Department: l.class.department,
		Size: &apiv1.Size{
			Cpus:         l.class.cpus,
			MemoryMb:     l.class.memoryMB,
			Accelerators: l.class.accelerators,
		},
		Tasks:      uint32(tasks),
		WaitedMs:   milliseconds(now.Sub(l.first().due) + maxSlack),
		WaitMs:     milliseconds(wait),
		Repeatable: l.class.repeatable,
		InUse:      uint32(d.inUse[l.class.department]),
	}
	for e := l.tasks.Front(); e != nil; e = e.Next() {
		// Second attempts wait in front of all others.
		at := e.Value.(*Task).current
		if at == nil {
			break
		}
		w.ExcludedTargets = append(w.ExcludedTargets, at.target.info.GetName())
	}
	for t := range d.blocked {
		if now.Before(t.blockedUntil) {
			w.ExcludedTargets = append(w.ExcludedTargets, t.info.GetName())
		} else {
			delete(d.blocked, t)
		}
	}
	return w
}

// acquire asks a broker and uses what it lends.
func (d *Dispatcher) acquire(l *line, broker uint64, wish *peerv1.AcquireSlots) {
	limit := time.Duration(wish.GetWaitMs())*time.Millisecond + brokerGrace
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	got, err := d.opts.Slots.Acquire(ctx, broker, wish)
	d.mu.Lock()
	defer d.unlockAndComplete()
	now := time.Now()
	l.asking--
	d.asking--
	l.wanted -= int(wish.GetTasks())
	l.turn++
	if err != nil {
		d.silences.Inc(1)
		d.brokers.silent[broker] = now.Add(brokerBackoff)
	}
	d.use(l, broker, got, now)
	d.pump()
	d.queue.prune(l)
}

// use starts waiting tasks on lent slots and gives back those without a task.
// It returns the number of tasks started.
func (d *Dispatcher) use(l *line, broker uint64, got *peerv1.AcquiredSlots, now time.Time) int {
	d.noteEjected(got.GetEjectedTargets(), now)
	snapshot := d.opts.Config.Load()
	back := &peerv1.ReturnSlots{Entry: d.opts.Sender}
	used := 0
	for _, g := range got.GetSlots() {
		left := g.GetSlots()
		for left > 0 && d.useOne(l, broker, g.GetTarget(), snapshot, now) {
			left--
			used++
		}
		if left > 0 {
			back.Slots = append(back.Slots, &peerv1.GrantedSlots{Target: g.GetTarget(), Slots: left})
			d.returned.Inc(int64(left))
		}
	}
	if len(back.Slots) == 0 {
		return used
	}
	if d.hasQuota(l.class.department, snapshot) {
		n := uint32(0)
		for _, s := range back.Slots {
			n += s.GetSlots()
		}
		back.Ended = []*peerv1.EndedTasks{{Department: l.class.department, Tasks: n}}
	}
	d.opts.Slots.Return(broker, back)
	return used
}

// useOne starts the first task of a line on a lent slot. It reports false when
// there is no task or the target cannot be used.
func (d *Dispatcher) useOne(l *line, broker uint64, name string, snapshot *config.Snapshot, now time.Time) bool {
	tg := d.targets[name]
	if tg == nil || tg.link == nil || tg.draining || now.Before(tg.blockedUntil) {
		return false
	}
	if !d.opts.IsFresh() || snapshot.CheckDepartment(l.class.department) != nil {
		return false
	}
	if snapshot.CheckTarget(l.class.department, tg.info.GetDataCentre(), name) != nil {
		return false
	}
	if len(tg.inFlight) >= tg.rampLimit(now) {
		d.blockFor(tg, now, rampTime/rampSteps)
		return false
	}
	t := l.firstFor(tg)
	if t == nil {
		return false
	}
	d.queue.remove(t)
	return d.start(t, tg, broker, now)
}

func (d *Dispatcher) hasQuota(department string, snapshot *config.Snapshot) bool {
	return snapshot.Get(apiv1.ObjectKind_OBJECT_KIND_DEPARTMENT, department).GetQuotaSlots() > 0
}

// noteEjected remembers which targets a broker has ejected.
func (d *Dispatcher) noteEjected(names []string, now time.Time) {
	for _, name := range names {
		if t := d.targets[name]; t != nil {
			t.ejectedUntil = now.Add(ejectionMemory)
		}
	}
}

// ended forgets an attempt and tells the broker of a department with a quota.
func (d *Dispatcher) ended(at *attempt) {
	delete(at.target.inFlight, at.key)
	department := at.task.Department
	if d.inUse[department]--; d.inUse[department] <= 0 {
		delete(d.inUse, department)
	}
	if at.broker == 0 {
		return
	}
	d.opts.Slots.Return(at.broker, &peerv1.ReturnSlots{
		Entry: d.opts.Sender,
		Ended: []*peerv1.EndedTasks{{Department: department, Tasks: 1}},
	})
}
