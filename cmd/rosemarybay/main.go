// Command rosemarybay is the command-line client for operators and scripts.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/rosemarybay/rosemarybay/internal/command"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Main(ctx, os.Args[1:], command.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
}
