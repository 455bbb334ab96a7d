// Package guard recovers from panics in the handling of one request or connection, so
// that they do not end the process.
package guard

import (
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
)

// Guard runs functions and recovers from their panics.
type Guard struct {
	Log      zerolog.Logger
	Counters *metrics.Counters
}

// Run calls f and reports whether f returned normally. A panic is logged with its stack
// trace and counted; the caller must then end the request or connection that f served.
// what names the work in the log.
func (g Guard) Run(what string, f func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			g.Counters.Counter("panics").Inc(1)
			g.Log.Error().Str("in", what).Str("cause", fmt.Sprint(cause)).Bytes("stack", debug.Stack()).
				Msg("unexpected error contained")
		}
	}()
	f()
	return true
}
