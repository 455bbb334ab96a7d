// Command rosemarybayd is the daemon. Its settings determine whether it runs as an entry
// or as an agent.
package main

import (
	"os"

	"github.com/rosemarybay/rosemarybay/internal/process/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stderr))
}
