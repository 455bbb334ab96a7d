package loadreplay

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/task"
	"github.com/rosemarybay/rosemarybay/internal/version/policy"
)

// kind is one kind of job of a workload.
type kind struct {
	name     string
	priority int
	// width is the mean number of tasks, run their mean run time at speed 1.
	width float64
	run   time.Duration
	// share is the part of all work that jobs of this kind bring.
	share float64
	// cpu is the mean need of a task in thousandths of a core; 0 means taskCPU.
	cpu float64
	// tail is the share of tasks that run tailFactor times as long as their job's others.
	tail float64
}

// sized returns kinds whose tasks need cpu thousandths of a core, and of which a share tail run
// tailFactor times as long.
func sized(kinds []kind, cpu, tail float64) []kind {
	out := slices.Clone(kinds)
	for i := range out {
		out[i].cpu, out[i].tail = cpu, tail
	}
	return out
}

func (k *kind) meanCPU() float64 { return cmp.Or(k.cpu, taskCPU) }

// desk is a mix of short wide urgent jobs, narrow ones and long ones.
var desk = []kind{
	{name: "short", priority: 0, width: 8, run: 60 * time.Millisecond, share: 0.21},
	{name: "narrow", priority: 1, width: 2, run: 200 * time.Millisecond, share: 0.51},
	{name: "long", priority: 2, width: 4, run: 900 * time.Millisecond, share: 0.28},
}

const (
	taskCPU       = 3100 // thousandths of a core, on average
	cpuSpread     = 0.2
	lengthSpread  = 0.4
	widthSpread   = 0.4
	estimateError = 0.4
	taskSpread    = 0.15
	tailFactor    = 7
	patience      = 1500 * time.Millisecond
	stretch       = 1.6
	latency       = 60 * time.Millisecond
)

// arrival is one job of a workload. Its random properties depend only on the seed.
type arrival struct {
	kind *kind
	at   time.Duration
	// work is the longest run time of its tasks at speed 1.
	work time.Duration
	job  task.Job
}

func (a *arrival) objective() time.Duration {
	return time.Duration(stretch*float64(a.work)) + latency
}

// workload is a sequence of arrivals.
type workload struct {
	arrivals []*arrival
	queues   map[string]*policy.Queue

	slowedTogether [2]string
	slowedBy       float64
	slowedUntil    time.Time

	mu    sync.Mutex
	works map[task.Key]time.Duration
	// killers are the tasks that crash each target that starts them, and how long after.
	killers map[task.Key]time.Duration
	// silent is set if a crashed target does not answer, in place of refusing connections.
	silent bool
	// crashesBy counts the crashes by killer, lostRuns the runs that were on the targets.
	crashesBy map[task.Key]int
	lostRuns  int
}

// isDoomed reports whether a task of the job crashes its targets.
func (w *workload) isDoomed(job *task.Job) bool {
	for n := range job.Steps[0].Count {
		if _, ok := w.crashes(task.Key{Job: job.ID, Index: n}); ok {
			return true
		}
	}
	return false
}

func (w *workload) crashes(k task.Key) (after time.Duration, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	after, ok = w.killers[k]
	return after, ok
}

func (w *workload) recordCrash(k task.Key, lost int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashesBy[k]++
	w.lostRuns += lost
}

// addKillers makes one task of a share of the jobs of a kind crash each target that starts
// it, a fixed part of its run time after its start.
func (w *workload) addKillers(k killers, seed uint64) {
	w.silent = k.silent
	random := rand.New(rand.NewPCG(seed, 1))
	for _, a := range w.arrivals {
		if a.kind.name != k.kind || a.at < k.from || a.at >= k.to || random.Float64() >= k.share {
			continue
		}
		index := random.IntN(a.job.Steps[0].Count)
		key := task.Key{Job: a.job.ID, Index: index}
		w.killers[key] = time.Duration(k.part * float64(w.works[key]))
	}
}

// killers describes jobs with a task that crashes its target.
type killers struct {
	kind     string
	share    float64
	from, to time.Duration
	// part is the part of its run time after which a killer crashes its target.
	part float64
	// silent is set if its target then does not answer until it is back.
	silent bool
}

// newWorkload draws arrivals of the given mean rate of work, in thousandths of a core, for
// a duration. A tenth of that duration is a warm-up at half the rate.
func newWorkload(kinds []kind, seed uint64, rate float64, length time.Duration) *workload {
	w := &workload{
		queues:    make(map[string]*policy.Queue),
		works:     make(map[task.Key]time.Duration),
		killers:   make(map[task.Key]time.Duration),
		crashesBy: make(map[task.Key]int),
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range kinds {
		k := &kinds[i]
		w.queues[k.name] = &policy.Queue{
			Name: k.name, Pool: "p", Priority: k.priority, MaxAttempts: 4,
			Stretch: stretch, TargetLatency: latency, Timeout: 6 * time.Second,
		}
		perSecond := rate * k.share / (k.width * k.meanCPU() * k.run.Seconds())
		for at := time.Duration(0); ; {
			factor := 1.0
			if at < length/10 {
				factor = 0.5
			}
			at += time.Duration(random.ExpFloat64() / perSecond / factor * float64(time.Second))
			if at >= length {
				break
			}
			w.arrivals = append(w.arrivals, w.draw(k, at, random))
		}
	}
	return w
}

// draw returns a job of a kind. Its run time, declared run time, width and cores vary.
func (w *workload) draw(k *kind, at time.Duration, random *rand.Rand) *arrival {
	vary := func(spread float64) float64 { return math.Exp(random.NormFloat64()*spread - spread*spread/2) }
	length := float64(k.run) * vary(lengthSpread)
	count := max(int(math.Round(k.width*vary(widthSpread))), 1)
	a := &arrival{kind: k, at: at}
	id := fmt.Sprintf("%s-%d", k.name, len(w.arrivals))
	for i := range count {
		work := time.Duration(length * vary(taskSpread))
		a.work = max(a.work, work)
		if k.tail > 0 && random.Float64() < k.tail {
			work *= tailFactor
		}
		w.works[task.Key{Job: id, Index: i}] = work
	}
	a.job = task.Job{ID: id, Queue: k.name, Steps: []task.Step{{
		Count:    count,
		Need:     task.Resources{CPU: int64(k.meanCPU() * vary(cpuSpread))},
		Estimate: time.Duration(length * vary(estimateError)),
	}}}
	return a
}

// slowdown returns the factor by which a task runs longer beside others.
func (w *workload) slowdown(k task.Key, beside map[task.Attempt]*activeRun) float64 {
	if w.slowedBy == 0 || time.Now().After(w.slowedUntil) {
		return 1
	}
	for i, kind := range w.slowedTogether {
		if !strings.HasPrefix(k.Job, kind+"-") {
			continue
		}
		for a := range beside {
			if strings.HasPrefix(a.Key.Job, w.slowedTogether[1-i]+"-") {
				return w.slowedBy
			}
		}
	}
	return 1
}

// work returns the run time of a task at speed 1.
func (w *workload) work(k task.Key) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.works[k]
}
