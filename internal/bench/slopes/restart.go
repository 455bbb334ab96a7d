package slopes

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/rotisserie/eris"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
)

// Load, timeouts and sampling of a restart measurement.
const (
	restartDivisor           = 3 // one in restartDivisor agents restarts
	jobsPerSecond            = 200
	steadyLoadTime           = 4 * time.Second
	restartTimeout           = 40 * time.Second
	sampleInterval           = 100 * time.Millisecond
	maxLatencyUS             = int64(time.Minute / time.Microsecond)
	latencySignificantDigits = 3
	medianPercentile         = 50
	tailPercentile           = 99
	restartJobTasks          = 4
)

// Restart is the effect on one entry under load when many of its agents reconnect at
// once.
type Restart struct {
	Agents    int `json:"agents"`
	Restarted int `json:"restarted"`
	// LinkedMS is the time until every restarted agent had a link again.
	LinkedMS float64 `json:"linked_ms"`
	// AllConnectedMS is the time until the entry reported every target as connected.
	AllConnectedMS float64 `json:"whole_ms"`
	// SteadyCores is the entry's mean CPU use in cores before the restart, PeakCores the
	// highest in any sampleInterval after it.
	SteadyCores float64 `json:"steady_cores"`
	PeakCores   float64 `json:"peak_cores"`
	// RateLimitedHandshakes counts the handshakes that the entry's rate limit refused.
	RateLimitedHandshakes int64   `json:"paced"`
	Before                Latency `json:"before"`
	During                Latency `json:"during"`
}

// Latency summarizes the latency of jobs that were submitted at a steady rate.
type Latency struct {
	Jobs     int64 `json:"jobs"`
	Failed   int64 `json:"failed"`
	MedianUS int64 `json:"median_us"`
	TailUS   int64 `json:"p99_us"`
}

// MeasureRestart measures an entry with n light agents, which are simulated by links
// without a process of their own, under a steady load while a third of the agents restart
// at once.
func MeasureRestart(ctx context.Context, n int, o Options) (*Restart, error) {
	f, g, err := startEntryWithLightAgents(ctx, o, n)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	defer g.close()
	r := &Restart{Agents: n, Restarted: n / restartDivisor}
	before, err := readNode(f, f.Entries[0])
	if err != nil {
		return nil, err
	}
	r.Before = submitDuring(ctx, f, func() { _ = sleep(ctx, steadyLoadTime) })
	after, err := readNode(f, f.Entries[0])
	if err != nil {
		return nil, err
	}
	r.SteadyCores = coresUsed(before.usage, after.usage)
	var restartErr error
	r.During = submitDuring(ctx, f, func() { restartErr = r.restart(ctx, f, g) })
	if restartErr != nil {
		return nil, restartErr
	}
	last, err := f.Scrape(f.Entries[0])
	r.RateLimitedHandshakes = last["handshakes_paced"] - after.values["handshakes_paced"]
	return r, err
}

// coresUsed returns the mean CPU use in cores between two readings.
func coresUsed(before, after usage) float64 {
	return float64(after.cpu-before.cpu) / float64(after.at.Sub(before.at))
}

// restart closes the links of the first r.Restarted agents and dials them all again at
// once.
func (r *Restart) restart(ctx context.Context, f *fleet.Fleet, g *linkGroup) error {
	ctx, cancel := context.WithTimeout(ctx, restartTimeout)
	defer cancel()
	stop := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { r.samplePeakCores(f, stop) })
	defer sampler.Wait()
	defer close(stop)
	began := time.Now()
	failed := make(chan error, r.Restarted)
	var dials sync.WaitGroup
	for i := range r.Restarted {
		dials.Go(func() {
			g.links[i].Close()
			if err := g.openOne(ctx, "agent", i); err != nil {
				failed <- err
			}
		})
	}
	dials.Wait()
	if len(failed) > 0 {
		return <-failed
	}
	r.LinkedMS = millis(time.Since(began))
	for !allConnected(ctx, f, r.Agents) {
		if err := sleep(ctx, sampleInterval/10); err != nil {
			return eris.Wrap(err, "not all targets are connected again")
		}
	}
	r.AllConnectedMS = millis(time.Since(began))
	return sleep(ctx, sampleInterval)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// samplePeakCores records the entry's highest CPU use in PeakCores until stop is closed.
func (r *Restart) samplePeakCores(f *fleet.Fleet, stop <-chan struct{}) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	last, err := readUsage(f.Entries[0].PID())
	for err == nil {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		var next usage
		next, err = readUsage(f.Entries[0].PID())
		if err == nil {
			r.PeakCores = max(r.PeakCores, coresUsed(last, next))
			last = next
		}
	}
}

func allConnected(ctx context.Context, f *fleet.Fleet, n int) bool {
	response, err := f.StatusClient(f.Entries[0]).GetStatus(ctx, connect.NewRequest(&apiv1.GetStatusRequest{}))
	if err != nil {
		return false
	}
	connected := 0
	for _, t := range response.Msg.GetTargets() {
		if t.GetConnected() {
			connected++
		}
	}
	return connected == n
}

// submitDuring submits jobs at a steady rate while during runs, and returns their
// latency. It doesn't wait for one job before it submits the next.
func submitDuring(ctx context.Context, f *fleet.Fleet, during func()) Latency {
	c := f.Client(department, "slopes", f.Entries[0])
	var mu sync.Mutex
	histogram := hdrhistogram.New(1, maxLatencyUS, latencySignificantDigits)
	var failed atomic.Int64
	done := make(chan struct{})
	go func() { defer close(done); during() }()
	ticker := time.NewTicker(time.Second / jobsPerSecond)
	defer ticker.Stop()
	var jobs sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-done:
			jobs.Wait()
			return Latency{
				Jobs:     histogram.TotalCount() + failed.Load(),
				Failed:   failed.Load(),
				MedianUS: histogram.ValueAtQuantile(medianPercentile),
				TailUS:   histogram.ValueAtQuantile(tailPercentile),
			}
		case <-ticker.C:
		}
		jobs.Go(func() {
			began := time.Now()
			if err := submitOne(ctx, c, i, restartJobTasks); err != nil {
				failed.Add(1)
				return
			}
			mu.Lock()
			defer mu.Unlock()
			_ = histogram.RecordValue(time.Since(began).Microseconds())
		})
	}
}

// Write writes the measurement as text.
func (r *Restart) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%d of %d agents restarted: all linked after %.0f ms, all connected after %.0f ms, %d handshakes paced\n"+
		"entry: %.2f cores before, peak %.2f cores over %s\n"+
		"jobs before: %d, %d failed, p50 %d us, p99 %d us\n"+
		"jobs during: %d, %d failed, p50 %d us, p99 %d us\n",
		r.Restarted, r.Agents, r.LinkedMS, r.AllConnectedMS, r.RateLimitedHandshakes,
		r.SteadyCores, r.PeakCores, sampleInterval,
		r.Before.Jobs, r.Before.Failed, r.Before.MedianUS, r.Before.TailUS,
		r.During.Jobs, r.During.Failed, r.During.MedianUS, r.During.TailUS)
	return err
}
