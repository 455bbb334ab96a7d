package config_test

import "flag"

// The property tests run with a fixed seed unless the command line names one.
func init() { _ = flag.Set("rapid.seed", "1") }
