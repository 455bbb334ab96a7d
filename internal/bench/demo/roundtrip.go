package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/rosemarybay/rosemarybay/client"
	"github.com/rosemarybay/rosemarybay/internal/bench/fleet"
	"github.com/rosemarybay/rosemarybay/internal/bench/workload"
	standintarget "github.com/rosemarybay/rosemarybay/internal/standin/target"
)

const (
	roundTrips         = 2000
	warmUpRoundTrips   = 200
	significantDigits  = 3
	maxRoundTripMicros = int64(time.Second / time.Microsecond)
)

// RoundTrip measures the overhead that the system adds to a call of an idle target. It
// runs tasks that end immediately, one after the other, without simulated network delays,
// and compares them with direct calls of the target.
func RoundTrip(ctx context.Context, out io.Writer) error {
	spec := Spec()
	spec.NetworkDelays = fleet.NetworkDelays{}
	spec.Direct = true
	f, err := fleet.Start(ctx, spec)
	if err != nil {
		return err
	}
	defer f.Close()
	direct, err := measure(ctx, func(i int) error { return callTarget(f.TargetURL("runner-1"), i) })
	if err != nil {
		return err
	}
	c := f.Client(workload.Fundi.Department, "volunteer", f.Entries[0])
	system, err := measure(ctx, func(i int) error {
		ticket, err := c.Ticket(ctx)
		if err != nil {
			return err
		}
		_, err = c.Resubmit(ctx, ticket, client.Job{Deadline: jobDeadline, Tasks: oneTask(i)})
		return err
	})
	if err != nil {
		return err
	}
	for _, q := range []float64{50, 99} {
		d, s := direct.ValueAtQuantile(q), system.ValueAtQuantile(q)
		_, _ = fmt.Fprintf(out, "p%.0f  direct %5d us  system %5d us  added %5d us  ratio %.2f\n", q, d, s, s-d, float64(s)/float64(max(1, d)))
	}
	return nil
}

func measure(ctx context.Context, call func(int) error) (*hdrhistogram.Histogram, error) {
	h := hdrhistogram.New(1, maxRoundTripMicros, significantDigits)
	for i := range warmUpRoundTrips + roundTrips {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		began := time.Now()
		if err := call(i); err != nil {
			return nil, err
		}
		if i >= warmUpRoundTrips {
			_ = h.RecordValue(time.Since(began).Microseconds())
		}
	}
	return h, nil
}

func callTarget(url string, i int) error {
	payload, err := json.Marshal(standintarget.Payload{Task: fmt.Sprintf("direct/%d", i)})
	if err != nil {
		return err
	}
	response, err := http.Post(url, "application/json", bytes.NewReader(payload))
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}
