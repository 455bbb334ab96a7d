// Package metrics holds the counters and latencies of a process and writes them in the
// Prometheus text format.
package metrics

import (
	"fmt"
	"io"
	"sort"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Counters is the metrics registry of one process. It is safe for concurrent use.
type Counters struct {
	registry gometrics.Registry
	refusals map[verdict.Reason]gometrics.Counter
	retries  map[verdict.Reason]gometrics.Counter

	latencies latencies
}

// New returns a registry with a refusal and a retry counter for each reason.
func New() *Counters {
	c := &Counters{
		registry: gometrics.NewRegistry(),
		refusals: make(map[verdict.Reason]gometrics.Counter),
		retries:  make(map[verdict.Reason]gometrics.Counter),
	}
	for _, reason := range verdict.Reasons() {
		c.refusals[reason] = c.Counter("refused_" + verdict.ReasonName(reason))
		c.retries[reason] = c.Counter("retried_" + verdict.ReasonName(reason))
	}
	return c
}

// Registry returns the underlying go-metrics registry, for packages that register their own
// counters.
func (c *Counters) Registry() gometrics.Registry { return c.registry }

// Counter returns the counter with a name, which is created on first use.
func (c *Counters) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, c.registry)
}

// CountRefusal counts a refusal with a reason.
func (c *Counters) CountRefusal(reason verdict.Reason) {
	if counter, ok := c.refusals[reason]; ok {
		counter.Inc(1)
	}
}

// CountRefusalError counts a refusal and converts it to an RPC error.
func (c *Counters) CountRefusalError(err *verdict.Error) error {
	c.CountRefusal(err.Reason)
	return err.ToConnect()
}

// CountRetry counts a retry of a task with the reason for it.
func (c *Counters) CountRetry(reason verdict.Reason) {
	if counter, ok := c.retries[reason]; ok {
		counter.Inc(1)
	}
}

// Value is the name and present value of one counter.
type Value struct {
	Name  string
	Value int64
}

// Values returns all counters sorted by name.
func (c *Counters) Values() []Value {
	var values []Value
	c.registry.Each(func(name string, metric any) {
		if counter, ok := metric.(gometrics.Counter); ok {
			values = append(values, Value{Name: name, Value: counter.Count()})
		}
	})
	sort.Slice(values, func(i, j int) bool { return values[i].Name < values[j].Name })
	return values
}

// prefix is the prefix of all metric names in the Prometheus text format.
const prefix = "rosemarybay_"

// WriteText writes the counters and latencies in the Prometheus text format.
func (c *Counters) WriteText(w io.Writer) error {
	for _, v := range c.Values() {
		_, err := fmt.Fprintf(w, "# TYPE %s%s counter\n%s%s %d\n", prefix, v.Name, prefix, v.Name, v.Value)
		if err != nil {
			return err
		}
	}
	return c.latencies.writeText(w)
}
