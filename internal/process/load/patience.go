package load

import (
	"math"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/request/bounds"
)

const (
	// sampleDecay multiplies the weight of older samples with each new one.
	sampleDecay = 0.99
	// lineSamples is the minimum number of samples for a fit.
	lineSamples = 20
	// lineCorrelation is the minimum correlation of run time and patience for which one
	// is derived from the other.
	lineCorrelation = 0.95
	// lineTolerance is the relative distance from the line above which a sample is an
	// outlier: its caller has waited before, or it ran on a slow target.
	lineTolerance = 0.15
	// lineOutliers is the number of consecutive outliers after which the fit is
	// discarded.
	lineOutliers = 40
	// minBaseShare is the share of the patience for the shortest run below which the
	// time left is too short for any run, so the caller must have waited before.
	minBaseShare = 0.97
	// maxRunFactor is the multiple of the predicted run time above which the time left
	// no longer implies a longer run.
	maxRunFactor = 6
	// repeatCallerShare is the share of the queue's mean patience below which a caller
	// must have waited before, where patience does not depend on the run time.
	repeatCallerShare = 0.6
	// minOverdueWaitShare is the part of its objective for which an overdue job waits
	// in any case for spare capacity. usefulAnswerFactor is the multiple of the
	// objective up to which a late answer is still useful.
	minOverdueWaitShare = 0.25
	usefulAnswerFactor  = 3
	// minSpareShare is the share of all capacity that must be free to start an overdue
	// job.
	minSpareShare = 0.2
)

// Forecast is what is predicted of a job on its arrival.
type Forecast struct {
	// RunTime is the expected run time of the critical path.
	RunTime time.Duration
	// Waited is how long the caller has already waited, at another entry or for a
	// connection.
	Waited time.Duration
	// Certain is set if the run time is known to within a few percent.
	Certain bool
}

// PatienceLine is the linear model of how long the callers of a queue wait: BaseMS
// milliseconds plus Slope times the run time of their job.
type PatienceLine struct {
	BaseMS float64 `json:"base_ms"`
	Slope  float64 `json:"slope"`
}

// Ranges of a model that another process has stored.
var (
	baseRange  = bounds.Range[float64]{Min: -ms(bounds.MaxRunTime), Max: ms(bounds.MaxRunTime)}
	slopeRange = bounds.Range[float64]{Min: 0.001, Max: 1000}
)

func (l PatienceLine) valid() bool {
	return baseRange.Contains(l.BaseMS) && slopeRange.Contains(l.Slope)
}

func (l PatienceLine) patience(run time.Duration) time.Duration {
	return time.Duration((l.BaseMS + l.Slope*ms(run)) * float64(time.Millisecond))
}

func (l PatienceLine) run(left time.Duration) time.Duration {
	return time.Duration((ms(left) - l.BaseMS) / l.Slope * float64(time.Millisecond))
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// Patience estimates, for each queue, how long callers wait before they give up. Callers
// who know the run time of their job allow more time for a longer one, so the time left
// predicts the run time better than the declared estimate does. On a repeated request
// part of that time is already used, so the time left may be shorter than that of any
// first request.
//
// In an overload a wrong prediction wastes capacity on jobs that end late. After an
// outage all disconnected callers retry at once, and serving them first would delay new
// requests as well.
type Patience struct {
	lines map[string]*lineFit
}

// allQueues is the key of the model fitted over all queues.
const allQueues = ""

// NewPatience returns a Patience without observations.
func NewPatience() *Patience { return &Patience{lines: make(map[string]*lineFit)} }

// Forecast predicts the run time of a job from left, the time until its caller gives up.
// predicted is the run time from the declared estimate. timeout is the queue's time-out,
// used in place of the queue's mean patience until enough callers have been observed.
func (p *Patience) Forecast(queue string, predicted, left, timeout time.Duration) Forecast {
	if line, ok := p.line(queue); ok {
		run := max(line.run(left), 0)
		switch {
		case ms(left) < minBaseShare*line.BaseMS:
			return Forecast{RunTime: predicted, Waited: max(line.patience(predicted)-left, 0)}
		case run > maxRunFactor*predicted:
			return Forecast{RunTime: predicted}
		}
		return Forecast{RunTime: run, Certain: true}
	}
	usual := p.usualPatience(queue, timeout)
	if float64(left) < repeatCallerShare*float64(usual) {
		return Forecast{RunTime: predicted, Waited: usual - left}
	}
	return Forecast{RunTime: predicted}
}

// Observe records a completed job whose run was not disturbed by restarts: its run
// time, and the time that its caller had left on arrival.
func (p *Patience) Observe(queue string, run, left time.Duration) {
	p.fit(queue).observe(ms(run), ms(left))
	p.fit(allQueues).observe(ms(run), ms(left))
}

// Restore loads models fitted by another process. They apply until a queue has a fit
// of its own. A model out of range is ignored.
func (p *Patience) Restore(lines map[string]PatienceLine) {
	for queue, line := range lines {
		if !line.valid() {
			continue
		}
		if fit := p.fit(queue); !fit.known {
			fit.line, fit.known = line, true
		}
	}
}

// Lines returns the fitted models by queue.
func (p *Patience) Lines() map[string]PatienceLine {
	lines := make(map[string]PatienceLine)
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

func (p *Patience) line(queue string) (PatienceLine, bool) {
	for _, key := range []string{queue, allQueues} {
		if fit := p.lines[key]; fit != nil && fit.known {
			return fit.line, true
		}
	}
	return PatienceLine{}, false
}

// usualPatience returns the mean patience of a queue in which it does not depend on the
// run time.
func (p *Patience) usualPatience(queue string, timeout time.Duration) time.Duration {
	fit := p.lines[queue]
	if fit == nil || fit.samples < lineSamples {
		return timeout
	}
	return time.Duration(fit.y / fit.n * float64(time.Millisecond))
}

// lineFit is an exponentially weighted least-squares fit of a line.
type lineFit struct {
	samples int
	// n, x, y, xx, xy and yy are the weighted sums over the samples, in milliseconds.
	n, x, y    float64
	xx, xy, yy float64
	line       PatienceLine
	known      bool
	// outliers counts the most recent consecutive outliers.
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
		*sum *= sampleDecay
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
	return f.samples >= lineSamples && y < repeatCallerShare*f.y/f.n
}

// solve updates the line if run time and patience are sufficiently correlated.
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
	f.line, f.known = PatienceLine{BaseMS: (f.y - slope*f.x) / f.n, Slope: slope}, true
}

// OverdueSlack returns how long after its arrival an overdue job may wait for spare
// // capacity: while its answer is still useful, or for one more objective if its caller waits
// that long. After an outage of all entries, spare capacity is back only when the jobs that
// began first have ended. objective is the
// duration, from the caller's first request, within which the job should have ended,
// and left the time until its caller gives up.
func OverdueSlack(f Forecast, objective, left time.Duration) time.Duration {
	useful := min(usefulAnswerFactor*objective-f.Waited, left) - f.RunTime
	again := min(objective, left-f.RunTime)
	return max(useful, again, time.Duration(minOverdueWaitShare*float64(objective)))
}

// HasSpareCapacity reports whether enough of all capacity is free that an overdue job
// can start without taking it from other jobs.
func HasSpareCapacity(free, all int64) bool { return float64(free) >= minSpareShare*float64(all) }
