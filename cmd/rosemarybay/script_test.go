package main

import (
	"net/http/httptest"
	"os"
	"syscall"

	"github.com/rogpeppe/go-internal/testscript"

	standinstore "github.com/rosemarybay/rosemarybay/internal/standin/store"
)

// signalCommand implements "signal HUP|TERM": it sends a signal to all background
// commands.
func signalCommand(ts *testscript.TestScript, neg bool, args []string) {
	signals := map[string]syscall.Signal{"HUP": syscall.SIGHUP, "TERM": syscall.SIGTERM}
	if neg || len(args) != 1 || signals[args[0]] == 0 {
		ts.Fatalf("usage: signal HUP|TERM")
	}
	for _, command := range ts.BackgroundCmds() {
		ts.Check(command.Process.Signal(signals[args[0]]))
	}
}

// stores holds the stand-in store of each script. The channel of capacity 1 serves as
// a mutex.
var stores = make(chan map[*testscript.TestScript]*standinstore.Server, 1)

func init() { stores <- make(map[*testscript.TestScript]*standinstore.Server) }

// storeCommand implements "store start|down|up": it starts the stand-in store of the
// script and sets STORE_URL, or switches the store between down and up.
func storeCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 1 {
		ts.Fatalf("usage: store start|down|up")
	}
	all := <-stores
	defer func() { stores <- all }()
	switch args[0] {
	case "start":
		store := standinstore.New()
		server := httptest.NewServer(store.Handler())
		all[ts] = store
		ts.Setenv("STORE_URL", server.URL)
		ts.Defer(func() {
			store.Close()
			server.CloseClientConnections()
			server.Close()
		})
	case "down":
		all[ts].SetMode(standinstore.Down)
	case "up":
		all[ts].SetMode(standinstore.Up)
	default:
		ts.Fatalf("usage: store start|down|up")
	}
}

// expandCommand implements "expand FILE...": it replaces $NAME in files with the values
// of the script's variables.
func expandCommand(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) == 0 {
		ts.Fatalf("usage: expand FILE...")
	}
	for _, file := range args {
		text := os.Expand(ts.ReadFile(file), ts.Getenv)
		ts.Check(os.WriteFile(ts.MkAbs(file), []byte(text), 0o600))
	}
}
