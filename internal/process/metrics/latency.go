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

// Sample of a latency: its size, and the weight of recent values.
const (
	latencySample = 1028
	latencyAlpha  = 0.015
)

// LatencyName is the name of the latencies of jobs, in seconds, without the
// prefix of all metrics.
const LatencyName = "job_seconds"

// quantiles written for each latency.
var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// latencyKey names one latency.
type latencyKey struct {
	department string
	dataCentre string
}

// latencies holds a histogram for each department and data centre. Its zero
// value is empty.
type latencies struct {
	mu         sync.Mutex
	histograms map[latencyKey]gometrics.Histogram // in nanoseconds
}

// ObserveJob adds the time between a submission and its answer.
func (c *Counters) ObserveJob(department, dataCentre string, d time.Duration) {
	c.latencies.get(latencyKey{department: department, dataCentre: dataCentre}).Update(int64(d))
}

func (l *latencies) get(key latencyKey) gometrics.Histogram {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.histograms[key]
	if !ok {
		if l.histograms == nil {
			l.histograms = make(map[latencyKey]gometrics.Histogram)
		}
		h = gometrics.NewHistogram(gometrics.NewExpDecaySample(latencySample, latencyAlpha))
		l.histograms[key] = h
	}
	return h
}

// keys returns the keys in order.
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

// writeText writes a summary of each latency.
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

// escapeLabel escapes the value of a label of the Prometheus text format.
func escapeLabel(s string) string {
	return strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`).Replace(s)
}
