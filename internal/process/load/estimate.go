package load

import "time"

const (
	// estimateWeight is the weight of a new run time in the moving average.
	estimateWeight = 0.05
	// estimateMeanSamples is the number of samples up to which the plain mean is used
	// instead of the moving average.
	estimateMeanSamples = 20
	// minRatio and maxRatio bound the sampled ratio, since a single run may hang.
	minRatio, maxRatio = 0.2, 5
	// defaultRunTime is assumed for a task whose run time is not declared.
	defaultRunTime = 200 * time.Millisecond
)

// Estimator predicts run times. Declared run times are off by a factor that is common
// to the tasks of a queue, so it averages, for each queue, the ratio of the actual to the
// declared run time.
type Estimator struct {
	queues map[string]*runTimeRatio
}

type runTimeRatio struct {
	mean    float64
	samples int
}

// NewEstimator returns an Estimator that predicts the declared run times.
func NewEstimator() *Estimator { return &Estimator{queues: make(map[string]*runTimeRatio)} }

// Predict returns the expected run time, on a healthy target, of a task of a queue.
func (e *Estimator) Predict(queue string, declared time.Duration) time.Duration {
	if declared <= 0 {
		declared = defaultRunTime
	}
	r := e.queues[queue]
	if r == nil {
		return declared
	}
	return time.Duration(float64(declared) * r.mean)
}

// IsLearned reports whether the run times of a queue have been learned.
func (e *Estimator) IsLearned(queue string) bool {
	r := e.queues[queue]
	return r != nil && r.samples >= estimateMeanSamples
}

// Observe records the run time of a task that has succeeded.
func (e *Estimator) Observe(queue string, declared, took time.Duration) {
	if declared <= 0 {
		declared = defaultRunTime
	}
	value := min(max(float64(took)/float64(declared), minRatio), maxRatio)
	r := e.queues[queue]
	if r == nil {
		r = &runTimeRatio{}
		e.queues[queue] = r
	}
	r.samples++
	weight := estimateWeight
	if r.samples < estimateMeanSamples {
		weight = 1 / float64(r.samples)
	}
	r.mean += weight * (value - r.mean)
}
