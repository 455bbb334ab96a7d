// Package metrics holds the counters of a process and writes them as Prometheus
// text.
package metrics

import (
	"fmt"
	"io"
	"sort"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/rosemarybay/rosemarybay/internal/request/verdict"
)

// Counters is the registry of one process.
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

// Registry returns the library's registry, for packages that count by themselves.
func (c *Counters) Registry() gometrics.Registry { return c.registry }

// Counter returns the counter of a name, made on first use.
func (c *Counters) Counter(name string) gometrics.Counter {
	return gometrics.GetOrRegisterCounter(name, c.registry)
}

// Refuse counts a refusal.
func (c *Counters) Refuse(reason verdict.Reason) {
	if counter, ok := c.refusals[reason]; ok {
		counter.Inc(1)
	}
}

// RefuseError counts a refusal and returns it as an RPC error.
func (c *Counters) RefuseError(err *verdict.Error) error {
	c.Refuse(err.Reason)
	return err.ToConnect()
}

// Retry counts a further attempt.
func (c *Counters) Retry(reason verdict.Reason) {
	if counter, ok := c.retries[reason]; ok {
		counter.Inc(1)
	}
}

// Value is one counter with its present value.
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

// prefix of every metric in the Prometheus text.
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
