package config_test

import "flag"

// The property tests use a fixed seed unless the command line sets another.
func init() { _ = flag.Set("rapid.seed", "1") }
