// Package workload holds what the benchmark's measurements share: the fleet profiles of
// the users, the tasks for stand-in targets and a histogram of the ratio of response time
// to ideal time.
package workload

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

// Profile describes the fleet and the jobs of one user.
type Profile struct {
	Name          string
	DataCentres   []string
	Department    string
	NetworkDelays fleet.NetworkDelays
	// MinTasks and MaxTasks bound the number of tasks of a job.
	MinTasks, MaxTasks int
}

// Fundi is the profile of the ticket desk in Nairobi.
var Fundi = Profile{
	Name:          "fundi",
	DataCentres:   []string{"nbo1", "nbo2", "nbo3"},
	Department:    "ticket-desk",
	NetworkDelays: fleet.NetworkDelays{BetweenDataCentres: 500 * time.Microsecond, CallerToEntry: 3 * time.Millisecond},
	MinTasks:      3,
	MaxTasks:      6,
}

// Cekici is the profile of the fitting desk in Marmara.
var Cekici = Profile{
	Name:          "cekici",
	DataCentres:   []string{"bur1", "bur2", "bur3"},
	Department:    "fitting-desk",
	NetworkDelays: fleet.NetworkDelays{BetweenDataCentres: time.Millisecond, CallerToEntry: time.Millisecond},
	MinTasks:      3,
	MaxTasks:      3,
}

// Size of the users' current fleets.
const (
	entriesPerDataCentre = 2
	targetCount          = 10
	slotsPerTarget       = 8
	workersPerRack       = 3
	workerCPUs           = 30
	workerMemoryMB       = 130_000
)

// TotalSlots is the total number of slots of a fleet of the current size.
const TotalSlots = targetCount * slotsPerTarget

// Spec returns the fleet of a profile: three data centres with two entries each, and ten
// targets with eight slots each.
func (p Profile) Spec(name string, seed int64) fleet.Spec {
	spec := fleet.Spec{
		Trace:                name,
		Seed:                 seed,
		EntriesPerDataCentre: entriesPerDataCentre,
		DataCentres:          p.DataCentres,
		Departments:          []fleet.Department{{Name: p.Department}},
		NetworkDelays:        p.NetworkDelays,
	}
	for i := range targetCount {
		spec.Targets = append(spec.Targets, fleet.Target{
			Name:       fmt.Sprintf("runner-%d", i+1),
			DataCentre: p.DataCentres[i%len(p.DataCentres)],
			Rack:       fmt.Sprintf("rack-%d", i/workersPerRack+1),
			Slots:      slotsPerTarget,
			Size:       fleet.Size{CPUs: workerCPUs, MemoryMB: workerMemoryMB},
		})
	}
	return spec
}

// TaskName returns the name under which a stand-in target records a task and which it
// returns as its output.
func TaskName(job, task int) string { return fmt.Sprintf("%d/%d", job, task) }

// NewTask returns a task that runs for d on a stand-in target.
func NewTask(name, kind string, d time.Duration, repeatable bool) *apiv1.Task {
	payload, _ := json.Marshal(standintarget.Payload{Task: name, RunMS: int(d.Milliseconds())})
	return &apiv1.Task{
		Kind:       kind,
		Size:       &apiv1.Size{Cpus: 1, MemoryMb: 512},
		RunMs:      uint32(d.Milliseconds()),
		Payload:    payload,
		Repeatable: repeatable,
	}
}

// HasAllResults reports whether an answer contains exactly the results of the tasks of a job.
func HasAllResults(job, tasks int, answer *apiv1.Answer) bool {
	if len(answer.GetResults()) != tasks {
		return false
	}
	for i, result := range answer.GetResults() {
		if string(result.GetOutput()) != TaskName(job, i) {
			return false
		}
	}
	return true
}

// The histogram stores ratios as integers, multiplied by ratioScale.
const (
	ratioScale        = 1000
	maxRatio          = 1000 * ratioScale
	significantDigits = 3
)

// RatioHistogram is a histogram of the ratio of response time to ideal time. It is not safe for
// concurrent use.
type RatioHistogram struct {
	histogram *hdrhistogram.Histogram
}

// NewRatioHistogram returns an empty histogram.
func NewRatioHistogram() *RatioHistogram {
	return &RatioHistogram{histogram: hdrhistogram.New(1, maxRatio, significantDigits)}
}

// Record adds the ratio of a response time to its ideal time. Ratios above 1000 count as
// 1000.
func (r *RatioHistogram) Record(response, ideal time.Duration) {
	ratio := float64(response) / float64(ideal)
	_ = r.histogram.RecordValue(min(maxRatio, int64(ratio*ratioScale)))
}

// Quantile returns the ratio at a quantile in percent.
func (r *RatioHistogram) Quantile(percent float64) float64 {
	return float64(r.histogram.ValueAtQuantile(percent)) / ratioScale
}
