package main

import (
	"fmt"
	"os"

	"github.com/rosemarybay/rosemarybay/internal/bench/bound"
	"github.com/rosemarybay/rosemarybay/platform/report"
)

// runBound prints what could have been served on days of the users' bench.
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
			return status(err)
		}
	}
	return exitOK
}
