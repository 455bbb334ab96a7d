package entry

import (
	"context"
	"time"

	"connectrpc.com/connect"

	apiv1 "github.com/rosemarybay/rosemarybay/api/v1"
)

// observeJobs measures the time from a submission to its answer, by department.
// Refused submissions and those that do not wait are left out.
func (e *Entry) observeJobs() connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			m, ok := r.Any().(*apiv1.SubmitRequest)
			if !ok || m.GetNoWait() {
				return next(ctx, r)
			}
			began := time.Now()
			response, err := next(ctx, r)
			if err == nil {
				e.counters.ObserveJob(m.GetDepartment(), e.settings.DataCentre, time.Since(began))
			}
			return response, err
		}
	}
}
