package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/process/daemon"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"rosemarybayd": func() { os.Exit(daemon.Main(os.Args[1:], os.Stderr)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script", Setup: writeKeys})
}

// examplesDir is the directory of the example settings for operators.
const examplesDir = "../../docs/operators/examples"

// writeKeys creates ca.pem, node.pem and node.key in the working directory of a script.
func writeKeys(env *testscript.Env) error {
	path, err := filepath.Abs(examplesDir)
	if err != nil {
		return err
	}
	env.Setenv("EXAMPLES", path)
	ca, err := identity.NewCA("test")
	if err != nil {
		return err
	}
	node, err := identity.NewNodeCertificate(ca, identity.Identity{Name: "e1", Role: "entry", DataCentre: "nbo1"})
	if err != nil {
		return err
	}
	for name, text := range map[string]string{"ca.pem": ca.Cert, "node.pem": node.Cert, "node.key": node.Key} {
		if err := os.WriteFile(filepath.Join(env.WorkDir, name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}
