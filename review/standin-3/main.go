// Command standin-3 plays cases of a review: it starts the project's own programs on loopback
// addresses beside stand-ins of clients, runners and the platform, and checks the rules.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE [ARGUMENT...]")
		os.Exit(cannotRun)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case "+os.Args[1])
		os.Exit(cannotRun)
	}
	os.Exit(play(os.Args[2:]))
}
