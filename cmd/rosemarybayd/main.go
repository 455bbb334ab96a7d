// Command rosemarybayd is the daemon: an entry or an agent, by its settings.
package main

import (
	"os"

	"github.com/rosemarybay/rosemarybay/internal/process/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stderr))
}
