package load

import (
	"math"
	"time"
)

const (
	// lineFade is the weight that earlier samples keep with each new one.
	lineFade = 0.99
	// lineSamples is the number of samples from which on a line is used.
	lineSamples = 20
	// lineCorrelation is that of run time and patience from which on one follows
	// from the other.
	lineCorrelation = 0.95
	// lineTolerance is the distance from the line, as a share, at which a sample
	// is one of a caller who has waited before, or of a run on a slow target.
	lineTolerance = 0.15
	// lineOutliers is the number of such samples in a row after which the line
	// itself is taken to be wrong.
	lineOutliers = 40
	// baseShare is the share of the patience for the shortest run below which a
	// caller has less time left than any run explains.
	baseShare = 0.97
	// maxRunShare is the share of the predicted run time above which the time that
	// a caller has left does not stand for a longer run any more.
	maxRunShare = 6
	// overdueShare is the share of the usual time below which a caller has been
	// waiting for long, where that time says nothing of the run.
	overdueShare = 0.6
	// overdueWait is the part of its objective for which an overdue job waits at
	// least for room that nobody else needs, and usefulFactor the multiple of it up to
	// which a late answer is of use.
	overdueWait  = 0.25
	usefulFactor = 3
	// overdueReserve is the share of all room that must be free for such a job.
	overdueReserve = 0.2
)

// Forecast is what is known of a job when it arrives.
type Forecast struct {
	// RunTime is the expected run time of the critical path.
	RunTime time.Duration
	// Waited is how long the caller has waited before, at another entry or for a
	// connection.
	Waited time.Duration
	// Certain is set where the run time is known to a few percent.
	Certain bool
}

// Line says how long the callers of a queue wait: BaseMS milliseconds, and Slope
// times the run time of their job.
type Line struct {
	BaseMS float64 `json:"base_ms"`
	Slope  float64 `json:"slope"`
}

func (l Line) patience(run time.Duration) time.Duration {
	return time.Duration((l.BaseMS + l.Slope*ms(run)) * float64(time.Millisecond))
}

func (l Line) run(left time.Duration) time.Duration {
	return time.Duration((ms(left) - l.BaseMS) / l.Slope * float64(time.Millisecond))
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Patience learns how long callers wait, by queue. Callers who know their work wait
// longer for a longer job, so the time that one is ready to wait says more of the
// run time than what is declared; and one who asks again has less time left than
// that of any run. It answers an overload, in which a wrong prediction wastes room
// on jobs that end late, and the return after an outage, when all who were cut ask
// again at once: serving them first would make the new ones late as well.
type Patience struct {
	lines map[string]*lineFit
}

// allQueues is the key of the line of all queues together.
const allQueues = ""

// NewPatience returns one that knows no queue.
func NewPatience() *Patience { return &Patience{lines: make(map[string]*lineFit)} }

// Forecast predicts the run time of a job from the time that its caller is going to
// wait. predicted is the run time by what is declared, timeout that of the queue,
// which stands for the usual patience until callers have been seen.
func (p *Patience) Forecast(queue string, predicted, left, timeout time.Duration) Forecast {
	if line, ok := p.line(queue); ok {
		run := max(line.run(left), 0)
		switch {
		case ms(left) < baseShare*line.BaseMS:
			return Forecast{RunTime: predicted, Waited: max(line.patience(predicted)-left, 0)}
		case run > maxRunShare*predicted:
			return Forecast{RunTime: predicted}
		}
		return Forecast{RunTime: run, Certain: true}
	}
	usual := p.usual(queue, timeout)
	if float64(left) < overdueShare*float64(usual) {
		return Forecast{RunTime: predicted, Waited: usual - left}
	}
	return Forecast{RunTime: predicted}
}

// Observe learns from a job that ran undisturbed: its run time, and the time that
// its caller was going to wait when it arrived.
func (p *Patience) Observe(queue string, run, left time.Duration) {
	p.fit(queue).observe(ms(run), ms(left))
	p.fit(allQueues).observe(ms(run), ms(left))
}

// Restore takes lines learned by an earlier process. They count until enough has
// been seen.
func (p *Patience) Restore(lines map[string]Line) {
	for queue, line := range lines {
		if fit := p.fit(queue); line.Slope > 0 && !fit.known {
			fit.line, fit.known = line, true
		}
	}
}

// Lines returns the lines that have been learned.
func (p *Patience) Lines() map[string]Line {
	lines := make(map[string]Line)
	for queue, fit := range p.lines {
		if fit.known {
			lines[queue] = fit.line
		}
	}
	return lines
}

func (p *Patience) fit(queue string) *lineFit {
	fit := p.lines[queue]
	if fit == nil {
		fit = &lineFit{}
		p.lines[queue] = fit
	}
	return fit
}

func (p *Patience) line(queue string) (Line, bool) {
	for _, key := range []string{queue, allQueues} {
		if fit := p.lines[key]; fit != nil && fit.known {
			return fit.line, true
		}
	}
	return Line{}, false
}

// usual returns the patience of a queue whose callers wait as long for any run.
func (p *Patience) usual(queue string, timeout time.Duration) time.Duration {
	fit := p.lines[queue]
	if fit == nil || fit.samples < lineSamples {
		return timeout
	}
	return time.Duration(fit.y / fit.n * float64(time.Millisecond))
}

// lineFit is the least squares fit of a line to samples that fade.
type lineFit struct {
	samples int
	// n, x, y, xx, xy and yy are the sums over the samples, in milliseconds.
	n, x, y    float64
	xx, xy, yy float64
	line       Line
	known      bool
	// outliers counts the latest samples in a row that are far from the line.
	outliers int
}

func (f *lineFit) observe(x, y float64) {
	if f.isOutlier(x, y) {
		if f.outliers++; f.outliers >= lineOutliers {
			*f = lineFit{}
		}
		return
	}
	f.outliers = 0
	f.samples++
	for _, sum := range []*float64{&f.n, &f.x, &f.y, &f.xx, &f.xy, &f.yy} {
		*sum *= lineFade
	}
	f.n++
	f.x += x
	f.y += y
	f.xx += x * x
	f.xy += x * y
	f.yy += y * y
	f.solve()
}

func (f *lineFit) isOutlier(x, y float64) bool {
	if f.known {
		want := f.line.BaseMS + f.line.Slope*x
		return math.Abs(y-want) > lineTolerance*want
	}
	return f.samples >= lineSamples && y < overdueShare*f.y/f.n
}

// solve replaces the line once the samples lie on one.
func (f *lineFit) solve() {
	if f.samples < lineSamples {
		return
	}
	spreadX := f.n*f.xx - f.x*f.x
	spreadY := f.n*f.yy - f.y*f.y
	common := f.n*f.xy - f.x*f.y
	if spreadX <= 0 || spreadY <= 0 || common < lineCorrelation*math.Sqrt(spreadX*spreadY) {
		return
	}
	slope := common / spreadX
	f.line, f.known = Line{BaseMS: (f.y - slope*f.x) / f.n, Slope: slope}, true
}

// OverdueSlack returns how long an overdue job may wait for room from its arrival: while
// its answer is still of use, and its caller there. f is its forecast, objective the
// time after its caller first asked in which it should have ended, and left the time
// that its caller is still going to wait.
func OverdueSlack(f Forecast, objective, left time.Duration) time.Duration {
	useful := min(usefulFactor*objective-f.Waited, left) - f.RunTime
	return max(useful, time.Duration(overdueWait*float64(objective)))
}

// HasReserve reports whether so much of all room is free that an overdue job takes
// it from nobody.
func HasReserve(free, all int64) bool { return float64(free) >= overdueReserve*float64(all) }
