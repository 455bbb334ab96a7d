package entry

import "flag"

// Property tests use a fixed seed unless -rapid.seed is given on the command line.
func init() { _ = flag.Set("rapid.seed", "1") }
