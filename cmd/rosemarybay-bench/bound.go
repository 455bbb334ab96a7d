package main

import (
	"fmt"
	"os"

	"github.com/rosemarybay/rosemarybay/internal/bench/bound"
	"github.com/rosemarybay/rosemarybay/platform/report"
)

// runBound prints an upper bound on the credit that could have been earned, for each day
// of the users' benchmark.
func runBound(args []string) int {
	if len(args) < 2 {
		_, _ = fmt.Fprint(os.Stderr, usage)
		return exitUsage
	}
	for _, path := range args[1:] {
		day, err := report.Read(args[0], path)
		if err == nil {
			err = bound.Print(os.Stdout, day)
		}
		if err != nil {
			return exitStatus(err)
		}
	}
	return exitOK
}
