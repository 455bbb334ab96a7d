package load

import "time"

const (
	// estimateWeight is the weight of a new run time in the average.
	estimateWeight = 0.05
	// estimateFirst is the number of run times over which the plain mean is
	// taken before the moving average.
	estimateFirst = 20
	// ratioMin and ratioMax bound the factor learned, since one run may hang.
	ratioMin, ratioMax = 0.2, 5
	// defaultRunTime stands for the run time of a task declared without one.
	defaultRunTime = 200 * time.Millisecond
)

// Estimator predicts run times. Callers declare run times that are off by a
// factor which is common to the tasks of a queue, so it learns that factor.
type Estimator struct {
	queues map[string]*ratio
}

type ratio struct {
	mean    float64
	samples int
}

// NewEstimator returns an estimator that believes what is declared.
func NewEstimator() *Estimator { return &Estimator{queues: make(map[string]*ratio)} }

// Predict returns the expected run time of a task of a queue on a sound target.
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

// Observe learns from a task that has ended well.
func (e *Estimator) Observe(queue string, declared, took time.Duration) {
	if declared <= 0 {
		declared = defaultRunTime
	}
	value := min(max(float64(took)/float64(declared), ratioMin), ratioMax)
	r := e.queues[queue]
	if r == nil {
		r = &ratio{}
		e.queues[queue] = r
	}
	r.samples++
	weight := estimateWeight
	if r.samples < estimateFirst {
		weight = 1 / float64(r.samples)
	}
	r.mean += weight * (value - r.mean)
}
