// Package daemon implements the main function of the daemon. It is called by the daemon's own
// command and by the bench, which starts its nodes through it.
package daemon

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/rs/zerolog"

	"github.com/rosemarybay/rosemarybay/internal/process/agent"
	"github.com/rosemarybay/rosemarybay/internal/process/entry"
	"github.com/rosemarybay/rosemarybay/internal/process/server"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

// Exit statuses of the daemon.
const (
	exitOK          = 0
	exitStartFailed = 2
)

// settingsPathVariable is the environment variable with the path of the settings file, used
// if the flag is not given.
const settingsPathVariable = "ROSEMARYBAY_SETTINGS"

// node is the process of one role: an entry, an agent or a server.
type node interface {
	// Run serves until stop is closed.
	Run(stop <-chan struct{})
	// Reload applies the settings that can change without a restart.
	Reload(*settings.Settings) error
}

// Main runs the daemon with its command-line arguments and returns its exit
// status: 0 after a planned stop or a successful check, 2 if it cannot start.
func Main(args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet("rosemarybayd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", os.Getenv(settingsPathVariable), "settings `FILE` in JSON")
	check := flags.Bool("check", false, "validate the settings and exit")
	if err := flags.Parse(args); err != nil {
		return exitStartFailed
	}
	if *path == "" || flags.NArg() > 0 {
		return failStart(stderr, "usage: rosemarybayd -settings FILE [-check]")
	}
	s, err := settings.Load(*path)
	if err != nil {
		return failStart(stderr, "rosemarybayd: %v", err)
	}
	if *check {
		return exitOK
	}
	log := newLogger(s, stderr)
	sighups := make(chan os.Signal, 1)
	signal.Notify(sighups, syscall.SIGHUP)
	n, err := start(s, log)
	if err != nil {
		return failStart(stderr, "rosemarybayd: %v", err)
	}
	go reloadOnSIGHUP(sighups, n, *path, log)
	n.Run(stopSignal())
	return exitOK
}

// failStart prints the reason why the daemon cannot start and returns the exit status.
func failStart(w io.Writer, format string, args ...any) int {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
	return exitStartFailed
}

func newLogger(s *settings.Settings, w io.Writer) zerolog.Logger {
	level, _ := zerolog.ParseLevel(s.LogLevel)
	return zerolog.New(w).Level(level).With().
		Timestamp().
		Str("node", s.Name).
		Str("data_centre", s.DataCentre).
		Logger()
}

func start(s *settings.Settings, log zerolog.Logger) (node, error) {
	if s.Node != nil {
		return server.New(s)
	}
	if s.Role == settings.RoleEntry {
		return entry.New(s, log)
	}
	return agent.New(s, log)
}

// stopSignal returns a channel that is closed on SIGTERM or SIGINT.
func stopSignal() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
	}()
	return stop
}

// reloadOnSIGHUP reloads the settings on each SIGHUP. If the new settings are invalid, the
// error is logged and the current ones stay in force.
func reloadOnSIGHUP(sighups <-chan os.Signal, n node, path string, log zerolog.Logger) {
	for range sighups {
		s, err := settings.Load(path)
		if err == nil {
			err = n.Reload(s)
		}
		if err != nil {
			log.Error().Err(err).Msg("settings not reloaded")
			continue
		}
		log.Info().Msg("settings reloaded")
	}
}
