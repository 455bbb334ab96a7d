// Package guard keeps an unexpected error in one connection or job from ending the
// process.
package guard

import (
	"fmt"
	"runtime/debug"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/metrics"
)

// Guard runs what must not take the process down.
type Guard struct {
	Log      zerolog.Logger
	Counters *metrics.Counters
}

// Run calls f, and reports whether it returned. A panic is logged with its stack and
// counted; the caller ends what f was for.
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
