package command

import (
	"context"
	"fmt"
	"runtime/debug"
)

func versionCommand() subcommand {
	return subcommand{
		name:     "version",
		summary:  "Print the version of the tool.",
		readOnly: true,
		run:      runVersion,
	}
}

func runVersion(_ context.Context, c *invocation) error {
	version, goVersion := "unknown", "unknown"
	if info, ok := debug.ReadBuildInfo(); ok {
		version, goVersion = info.Main.Version, info.GoVersion
	}
	if c.output == outputJSON {
		_, err := fmt.Fprintf(c.Out, "{\"version\": %q, \"go\": %q}\n", version, goVersion)
		return err
	}
	return c.printTable([][]string{{"rosemarybay", version, goVersion}})
}
