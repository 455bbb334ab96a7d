package settings

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"

	"github.com/rotisserie/eris"
)

// CallerTLS holds the certificate and private key of the caller port. Each field is PEM
// text or the path of a file.
type CallerTLS struct {
	Cert string `json:"cert"`
	Key  string `json:"key"`
}

// Caller is a caller or operator, identified by a bearer token.
type Caller struct {
	// TokenSHA256 is the SHA-256 of the token in hexadecimal.
	TokenSHA256 string `json:"token_sha256"`
	// Department is the only department the caller may act for.
	Department string `json:"department,omitempty"`
	// Owner is the only owner the caller may act for; empty means all owners of the
	// department.
	Owner string `json:"owner,omitempty"`
	// Operator permits reading the state of the fleet and changing the configuration. An
	// operator has no department.
	Operator bool `json:"operator,omitempty"`
}

// AcceptsWithoutToken reports whether requests are accepted without a token.
func (e *Entry) AcceptsWithoutToken() bool { return len(e.Callers) == 0 }

func (e *Entry) validateCallers() error {
	if t := e.CallerTLS; t != nil && (t.Cert == "" || t.Key == "") {
		return eris.New("entry.caller_tls needs cert and key")
	}
	if !isLoopback(e.CallerListen) && (e.AcceptsWithoutToken() || e.CallerTLS == nil) {
		return eris.Errorf("entry.caller_listen %q is not a loopback address: entry.callers and entry.caller_tls are needed", e.CallerListen)
	}
	seen := make(map[string]bool, len(e.Callers))
	for i := range e.Callers {
		c := &e.Callers[i]
		if err := c.validate(); err != nil {
			return eris.Wrapf(err, "entry.callers[%d]", i)
		}
		if seen[c.TokenSHA256] {
			return eris.Errorf("entry.callers[%d] has the token of another", i)
		}
		seen[c.TokenSHA256] = true
	}
	return nil
}

// isLoopback reports whether address is a loopback IP address with a port.
func isLoopback(address string) bool {
	addrPort, err := netip.ParseAddrPort(address)
	return err == nil && addrPort.Addr().IsLoopback()
}

func (c *Caller) validate() error {
	if _, err := c.TokenHash(); err != nil {
		return err
	}
	if c.Operator == (c.Department != "") {
		return eris.New("either department or operator is needed")
	}
	if c.Operator && c.Owner != "" {
		return eris.New("owner cannot be set for an operator")
	}
	return nil
}

// TokenHash decodes TokenSHA256.
func (c *Caller) TokenHash() ([sha256.Size]byte, error) {
	var hash [sha256.Size]byte
	b, err := hex.DecodeString(c.TokenSHA256)
	if err != nil || len(b) != len(hash) {
		return hash, eris.Errorf("token_sha256 is not %d hexadecimal digits", 2*len(hash))
	}
	return [sha256.Size]byte(b), nil
}
