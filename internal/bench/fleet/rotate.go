package fleet

import (
	"encoding/json"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
	"github.com/rosemarybay/rosemarybay/internal/process/settings"
)

// keyReloadTime is the wait after each step for the nodes to reload their keys.
const keyReloadTime = 500 * time.Millisecond

// RotateKeys replaces the certificate authority and the keys of all nodes without a
// restart. All nodes first trust both authorities, then take certificates of the new
// one, then trust the new one alone, so that links can be opened during each step.
func (f *Fleet) RotateKeys() error {
	next, err := identity.NewCA("bench-next")
	if err != nil {
		return err
	}
	both := f.ca.Cert + next.Cert
	steps := []func(*settings.Settings) error{
		func(s *settings.Settings) error {
			s.TLS.CA = both
			return nil
		},
		func(s *settings.Settings) error {
			pair, err := identity.NewNodeCertificate(next, identity.Identity{Name: s.Name, Role: string(s.Role), DataCentre: s.DataCentre})
			s.TLS = settings.TLS{CA: both, Cert: pair.Cert, Key: pair.Key}
			return err
		},
		func(s *settings.Settings) error {
			s.TLS.CA = next.Cert
			return nil
		},
	}
	for _, step := range steps {
		for _, n := range f.Nodes() {
			if err := n.changeSettings(step); err != nil {
				return err
			}
		}
		time.Sleep(keyReloadTime)
	}
	f.ca = next
	return nil
}

// changeSettings rewrites the node's settings file and sends SIGHUP, which makes the node
// reload the file.
func (n *Node) changeSettings(change func(*settings.Settings) error) error {
	data, err := os.ReadFile(n.settingsPath)
	if err != nil {
		return eris.Wrap(err, "read settings")
	}
	s := &settings.Settings{}
	if err := json.Unmarshal(data, s); err != nil {
		return eris.Wrap(err, "decode settings")
	}
	if err := change(s); err != nil {
		return err
	}
	data, err = json.Marshal(s)
	if err != nil {
		return eris.Wrap(err, "encode settings")
	}
	if err := os.WriteFile(n.settingsPath, data, filePerm); err != nil {
		return eris.Wrap(err, "write settings")
	}
	n.signal(syscall.SIGHUP)
	return nil
}
