package command

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
)

const (
	tokenBytes    = 32
	secretPerm    = 0o600
	publicPerm    = 0o644
	certSuffix    = ".pem"
	keySuffix     = ".key"
	defaultCA     = "ca"
	keyKindCA     = "ca"
	keyKindNode   = "node"
	keyKindServer = "server"
	keyKindToken  = "token"
)

// keyFlags are the flags of "keys new".
type keyFlags struct {
	dir        string
	ca         string
	role       string
	dataCentre string
	hosts      string
}

func keysNewCommand() subcommand {
	return subcommand{
		name: "keys new",
		summary: "Make a key. KIND is ca (an authority), node (an entry or agent), server (the caller port\n" +
			"of entries) or token (of a caller or operator). Files that exist are never overwritten.",
		args:     "KIND NAME",
		argCount: 2,
		flags: func(c *invocation) {
			c.flags.StringVar(&c.keys.dir, "dir", ".", "`directory` of the files")
			c.flags.StringVar(&c.keys.ca, "authority", defaultCA, "`name` of the authority, in the same directory")
			c.flags.StringVar(&c.keys.role, "role", "", "node: entry or agent")
			c.flags.StringVar(&c.keys.dataCentre, "data-centre", "", "node: its data centre")
			c.flags.StringVar(&c.keys.hosts, "hosts", "", "server: names and IP addresses, separated by commas")
		},
		run: runKeysNew,
	}
}

func runKeysNew(_ context.Context, c *invocation) error {
	kind, name := c.args[0], c.args[1]
	if name != filepath.Base(name) {
		return fmt.Errorf("%w: NAME %q is not a file name", errUsage, name)
	}
	switch kind {
	case keyKindCA:
		return c.writeKeyPair(name, identity.NewCA)
	case keyKindNode:
		return c.newNode(name)
	case keyKindServer:
		return c.newServer(name)
	case keyKindToken:
		return c.newToken(name)
	default:
		return fmt.Errorf("%w: KIND %q is none of ca, node, server and token", errUsage, kind)
	}
}

func (c *invocation) newNode(name string) error {
	id := identity.Identity{Name: name, Role: c.keys.role, DataCentre: c.keys.dataCentre}
	if !identity.IsRole(id.Role) || id.DataCentre == "" {
		return fmt.Errorf("%w: a node needs -role entry or -role agent, and -data-centre", errUsage)
	}
	ca, err := c.readCA()
	if err != nil {
		return &localError{err: err}
	}
	return c.writeKeyPair(name, func(string) (identity.KeyPair, error) { return identity.NewNodeCertificate(ca, id) })
}

func (c *invocation) newServer(name string) error {
	hosts := splitNames(c.keys.hosts)
	if len(hosts) == 0 {
		return fmt.Errorf("%w: a server needs -hosts", errUsage)
	}
	ca, err := c.readCA()
	if err != nil {
		return &localError{err: err}
	}
	return c.writeKeyPair(name, func(string) (identity.KeyPair, error) { return identity.NewServerCertificate(ca, name, hosts) })
}

func (c *invocation) readCA() (identity.KeyPair, error) {
	path := filepath.Join(c.keys.dir, c.keys.ca)
	cert, err := os.ReadFile(path + certSuffix)
	if err != nil {
		return identity.KeyPair{}, err
	}
	key, err := os.ReadFile(path + keySuffix)
	return identity.KeyPair{Cert: string(cert), Key: string(key)}, err
}

func (c *invocation) writeKeyPair(name string, makePair func(string) (identity.KeyPair, error)) error {
	pair, err := makePair(name)
	if err != nil {
		return &localError{err: err}
	}
	path := filepath.Join(c.keys.dir, name)
	if err := errors.Join(
		writeNew(path+keySuffix, pair.Key, secretPerm),
		writeNew(path+certSuffix, pair.Cert, publicPerm),
	); err != nil {
		return &localError{err: err}
	}
	return c.printCertificates(path + certSuffix)
}

// writeNew creates a file and fails if it already exists.
func writeNew(path, content string, perm os.FileMode) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, perm)
	if err != nil {
		return err
	}
	_, err = f.WriteString(content)
	return errors.Join(err, f.Close())
}

// newToken writes a random token to a file and prints its SHA-256 hash for the settings.
func (c *invocation) newToken(name string) error {
	b := make([]byte, tokenBytes)
	_, _ = rand.Read(b) // never fails
	token := base64.RawURLEncoding.EncodeToString(b)
	path := filepath.Join(c.keys.dir, name+".token")
	if err := writeNew(path, token+"\n", secretPerm); err != nil {
		return &localError{err: err}
	}
	hash := sha256.Sum256([]byte(token))
	if c.output == outputJSON {
		return json.NewEncoder(c.Out).Encode(tokenOutput{File: path, TokenSHA256: hex.EncodeToString(hash[:])})
	}
	return c.printTable([][]string{{"FILE", "TOKEN_SHA256"}, {path, hex.EncodeToString(hash[:])}})
}

// tokenOutput is the JSON output for a new token.
type tokenOutput struct {
	File        string `json:"file"`
	TokenSHA256 string `json:"token_sha256"`
}

func keysShowCommand() subcommand {
	return subcommand{
		name:     "keys show",
		summary:  "Print what the certificates of a PEM file say.",
		args:     "FILE",
		argCount: 1,
		readOnly: true,
		run:      func(_ context.Context, c *invocation) error { return c.printCertificates(c.args[0]) },
	}
}

func (c *invocation) printCertificates(path string) error {
	details, err := identity.Describe(path)
	if err != nil {
		return &localError{err: err}
	}
	if c.output == outputJSON {
		encoder := json.NewEncoder(c.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(details)
	}
	rows := [][]string{{"NAME", "ROLE", "DATA CENTRE", "HOSTS", "ISSUER", "EXPIRES", "SHA256"}}
	for _, d := range details {
		rows = append(rows, []string{
			d.Name, orDash(d.Role), orDash(d.DataCentre), orDash(d.Hosts), d.Issuer, d.Expires.UTC().Format(time.RFC3339), d.SHA256,
		})
	}
	return c.printTable(rows)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
