// Package daemon is the entry point of the daemon, for its own command and for
// the bench, which starts its nodes through it.
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

// Exit statuses.
const (
	exitOK    = 0
	exitUsage = 2
)

// settingsVariable names the settings file where no flag does.
const settingsVariable = "ROSEMARYBAY_SETTINGS"

// node is one role of the daemon.
type node interface {
	Run(stop <-chan struct{})
	// Reload takes keys and callers of new settings without a stop.
	Reload(*settings.Settings) error
}

// Main runs the daemon with its command-line arguments and returns its exit
// status: 0 after a planned stop, 2 when it cannot start.
func Main(args []string, stderr io.Writer) int {
	flags := flag.NewFlagSet("rosemarybayd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", os.Getenv(settingsVariable), "settings `FILE` in JSON")
	check := flags.Bool("check", false, "validate the settings and exit")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *path == "" || flags.NArg() > 0 {
		return fail(stderr, "usage: rosemarybayd -settings FILE [-check]")
	}
	s, err := settings.Load(*path)
	if err != nil {
		return fail(stderr, "rosemarybayd: %v", err)
	}
	if *check {
		return exitOK
	}
	log := newLogger(s, stderr)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	n, err := start(s, log)
	if err != nil {
		return fail(stderr, "rosemarybayd: %v", err)
	}
	go reloadOnHangup(hangups, n, *path, log)
	n.Run(stopSignal())
	return exitOK
}

func fail(w io.Writer, format string, args ...any) int {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
	return exitUsage
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

// stopSignal returns a channel closed by SIGTERM or SIGINT.
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

// reloadOnHangup reads the settings again at each SIGHUP. Faulty settings are
// logged and leave the present ones in force.
func reloadOnHangup(hangups <-chan os.Signal, n node, path string, log zerolog.Logger) {
	for range hangups {
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
