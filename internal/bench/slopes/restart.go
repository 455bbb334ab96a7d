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

// Load and sampling of a restart.
const (
	restartDivisor  = 3 // one agent in so many restarts
	restartRate     = 200
	restartSteady   = 4 * time.Second
	restartLimit    = 40 * time.Second
	sampleInterval  = 100 * time.Millisecond
	maxLatency      = int64(time.Minute / time.Microsecond)
	latencyDigits   = 3
	latencyMedian   = 50
	latencyTail     = 99
	restartJobTasks = 4
)

// Restart is what the return of many agents at once does to one entry that
// works.
type Restart struct {
	Agents    int `json:"agents"`
	Restarted int `json:"restarted"`
	// LinkedMS is the time until every agent had a link again.
	LinkedMS float64 `json:"linked_ms"`
	// WholeMS is the time until the entry reported every target connected.
	WholeMS float64 `json:"whole_ms"`
	// SteadyCores and PeakCores are the entry's processor use before, and the
	// highest over sampleInterval after.
	SteadyCores float64 `json:"steady_cores"`
	PeakCores   float64 `json:"peak_cores"`
	// Paced counts the handshakes that were refused.
	Paced  int64   `json:"paced"`
	Before Latency `json:"before"`
	During Latency `json:"during"`
}

// Latency sums up jobs submitted at a steady rate.
type Latency struct {
	Jobs     int64 `json:"jobs"`
	Failed   int64 `json:"failed"`
	MedianUS int64 `json:"median_us"`
	TailUS   int64 `json:"p99_us"`
}

// MeasureRestart restarts a third of n light agents of one entry at once, under
// a steady load.
func MeasureRestart(ctx context.Context, n int, o Options) (*Restart, error) {
	f, g, err := startGroup(ctx, o, n)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	defer g.close()
	r := &Restart{Agents: n, Restarted: n / restartDivisor}
	before, err := readEvent(f, f.Entries[0])
	if err != nil {
		return nil, err
	}
	r.Before = load(ctx, f, func() { _ = pause(ctx, restartSteady) })
	after, err := readEvent(f, f.Entries[0])
	if err != nil {
		return nil, err
	}
	r.SteadyCores = cores(before.usage, after.usage)
	var restartErr error
	r.During = load(ctx, f, func() { restartErr = r.restart(ctx, f, g) })
	if restartErr != nil {
		return nil, restartErr
	}
	last, err := f.Scrape(f.Entries[0])
	r.Paced = last["handshakes_paced"] - after.values["handshakes_paced"]
	return r, err
}

func cores(a, b usage) float64 { return float64(b.cpu-a.cpu) / float64(b.at.Sub(a.at)) }

// restart ends the links of the first agents and dials them all at once.
func (r *Restart) restart(ctx context.Context, f *fleet.Fleet, g *group) error {
	ctx, cancel := context.WithTimeout(ctx, restartLimit)
	defer cancel()
	stop := make(chan struct{})
	var sampler sync.WaitGroup
	sampler.Go(func() { r.sample(f, stop) })
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
		if err := pause(ctx, sampleInterval/10); err != nil {
			return eris.Wrap(err, "targets are not whole again")
		}
	}
	r.WholeMS = millis(time.Since(began))
	return pause(ctx, sampleInterval)
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// sample notes the highest processor use of the entry until stop is closed.
func (r *Restart) sample(f *fleet.Fleet, stop <-chan struct{}) {
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
			r.PeakCores = max(r.PeakCores, cores(last, next))
			last = next
		}
	}
}

func allConnected(ctx context.Context, f *fleet.Fleet, n int) bool {
	response, err := f.Status(f.Entries[0]).GetStatus(ctx, connect.NewRequest(&apiv1.GetStatusRequest{}))
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

// load submits jobs at a steady rate while f runs.
func load(ctx context.Context, fl *fleet.Fleet, f func()) Latency {
	c := fl.Client(department, "slopes", fl.Entries[0])
	var mu sync.Mutex
	histogram := hdrhistogram.New(1, maxLatency, latencyDigits)
	var failed atomic.Int64
	done := make(chan struct{})
	go func() { defer close(done); f() }()
	ticker := time.NewTicker(time.Second / restartRate)
	defer ticker.Stop()
	var jobs sync.WaitGroup
	for i := 0; ; i++ {
		select {
		case <-done:
			jobs.Wait()
			return Latency{
				Jobs:     histogram.TotalCount() + failed.Load(),
				Failed:   failed.Load(),
				MedianUS: histogram.ValueAtQuantile(latencyMedian),
				TailUS:   histogram.ValueAtQuantile(latencyTail),
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

// Write prints r.
func (r *Restart) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%d of %d agents restarted: all linked after %.0f ms, all connected after %.0f ms, %d handshakes paced\n"+
		"entry: %.2f cores before, peak %.2f cores over %s\n"+
		"jobs before: %d, %d failed, p50 %d us, p99 %d us\n"+
		"jobs during: %d, %d failed, p50 %d us, p99 %d us\n",
		r.Restarted, r.Agents, r.LinkedMS, r.WholeMS, r.Paced,
		r.SteadyCores, r.PeakCores, sampleInterval,
		r.Before.Jobs, r.Before.Failed, r.Before.MedianUS, r.Before.TailUS,
		r.During.Jobs, r.During.Failed, r.During.MedianUS, r.During.TailUS)
	return err
}
