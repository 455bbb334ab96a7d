package metrics

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Parameters of the exponentially decaying sample of a latency: its size, and the decay
// factor, which gives recent values more weight.
const (
	latencySampleSize = 1028
	latencyDecay      = 0.015
)

// LatencyName is the metric name of the job latency in seconds, without the common prefix.
const LatencyName = "job_seconds"

// quantiles are those written for each latency.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// latencyKey holds the labels of one latency.
type latencyKey struct {
	department string
	dataCentre string
}

// latencies holds a latency histogram for each department and data centre. Its zero value
// is empty. It is safe for concurrent use.
type latencies struct {
	mu         sync.Mutex
	histograms map[latencyKey]gometrics.Histogram // in nanoseconds
}

// ObserveJob records the latency of a job, from its submission to its answer.
func (c *Counters) ObserveJob(department, dataCentre string, d time.Duration) {
	c.latencies.get(latencyKey{department: department, dataCentre: dataCentre}).Update(int64(d))
}

// get returns the histogram of a key, which is created on first use.
func (l *latencies) get(key latencyKey) gometrics.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.histograms[key]
	if !ok {
		if l.histograms == nil {
			l.histograms = make(map[latencyKey]gometrics.Histogram)
		}
		h = gometrics.NewHistogram(gometrics.NewExpDecaySample(latencySampleSize, latencyDecay))
		l.histograms[key] = h
	}
	return h
}

// keys returns the keys sorted by department and data centre.
func (l *latencies) keys() []latencyKey {
	l.mu.Lock()
	defer l.mu.Unlock()
	keys := make([]latencyKey, 0, len(l.histograms))
	for key := range l.histograms {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b latencyKey) int {
		if c := strings.Compare(a.department, b.department); c != 0 {
			return c
		}
		return strings.Compare(a.dataCentre, b.dataCentre)
	})
	return keys
}

// writeText writes the latencies as a Prometheus summary.
func (l *latencies) writeText(w io.Writer) error {
	name := prefix + LatencyName
	for i, key := range l.keys() {
		if i == 0 {
			if _, err := fmt.Fprintf(w, "# TYPE %s summary\n", name); err != nil {
				return err
			}
		}
		if err := key.writeText(w, name, l.get(key).Snapshot()); err != nil {
			return err
		}
	}
	return nil
}

// writeText writes the quantiles and the count of one latency.
func (k latencyKey) writeText(w io.Writer, name string, h gometrics.Histogram) error {
	labels := fmt.Sprintf(`department="%s",data_centre="%s"`, escapeLabel(k.department), escapeLabel(k.dataCentre))
	for i, value := range h.Percentiles(quantiles) {
		_, err := fmt.Fprintf(w, "%s{%s,quantile=\"%g\"} %g\n", name, labels, quantiles[i], value/float64(time.Second))
		if err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s_count{%s} %d\n", name, labels, h.Count())
	return err
}

// escapeLabel escapes the value of a label for the Prometheus text format.
func escapeLabel(s string) string {
	return strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(s)
}
