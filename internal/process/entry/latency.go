package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

// observeJobs returns an interceptor that measures the time from a submission to its
// answer, by department. It leaves out refused submissions and those with no_wait.
func (e *Entry) observeJobs() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			m, ok := r.Any().(*apiv1.SubmitRequest)
			if !ok || m.GetNoWait() {
				return next(ctx, r)
			}
			start := time.Now()
			response, err := next(ctx, r)
			if err == nil {
				e.counters.ObserveJob(m.GetDepartment(), e.settings.DataCentre, time.Since(start))
			}
			return response, err
		}
	}
}
