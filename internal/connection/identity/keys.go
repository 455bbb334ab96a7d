package identity

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Protocol is the ALPN name of links between the system's processes.
const Protocol = "rosemarybay/1"

// Files names the keys of a node. Each field is PEM text or a path. CA may hold
// several certificates, such as the old and the new one of a rotation.
type Files struct {
	CA, Cert, Key string
}

// Keys are the keys of a node. They can be replaced while links are open: each
// handshake uses those of its time.
type Keys struct {
	current atomic.Pointer[material]
	refused func(error)
}

// material is one set of keys. It never changes.
type material struct {
	pool *x509.CertPool
	pair tls.Certificate
}

// Load reads the keys of a node. Each refused handshake is reported to refused,
// which may be nil.
func Load(files Files, refused func(error)) (*Keys, error) {
	if refused == nil {
		refused = func(error) {}
	}
	k := &Keys{refused: refused}
	return k, k.Reload(files)
}

// Reload replaces the keys for later handshakes; after an error the present
// ones stay. Open links are kept.
func (k *Keys) Reload(files Files) error {
	m, err := loadMaterial(files)
	if err != nil {
		return err
	}
	k.current.Store(m)
	return nil
}

func loadMaterial(files Files) (*material, error) {
	ca, err := ReadPEM(files.CA)
	if err != nil {
		return nil, err
	}
	cert, err := ReadPEM(files.Cert)
	if err != nil {
		return nil, err
	}
	key, err := ReadPEM(files.Key)
	if err != nil {
		return nil, err
	}
	m := &material{pool: x509.NewCertPool()}
	if !m.pool.AppendCertsFromPEM(ca) {
		return nil, eris.New("tls.ca holds no certificate")
	}
	m.pair, err = tls.X509KeyPair(cert, key)
	return m, eris.Wrap(err, "tls.cert and tls.key")
}

// Client returns the configuration of dialled links: the peer must be an entry.
func (k *Keys) Client() *tls.Config {
	return k.config(x509.ExtKeyUsageServerAuth, RoleEntry)
}

// Server returns the configuration of accepted links: the peer must be an entry
// or an agent.
func (k *Keys) Server() *tls.Config {
	return k.config(x509.ExtKeyUsageClientAuth, RoleEntry, RoleAgent)
}

func (k *Keys) config(usage x509.ExtKeyUsage, roles ...string) *tls.Config {
	return &tls.Config{
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &k.current.Load().pair, nil
		},
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return &k.current.Load().pair, nil
		},
		ClientAuth:         tls.RequestClientCert, // verify refuses and counts a missing certificate
		InsecureSkipVerify: true,                  // verify checks the chain; peers are dialled by IP and have no host names
		VerifyConnection: func(state tls.ConnectionState) error {
			err := k.verify(state, usage, roles)
			if err != nil {
				k.refused(err)
			}
			return err
		},
		SessionTicketsDisabled: true, // a resumed session would outlive its authority
		NextProtos:             []string{Protocol},
		MinVersion:             tls.VersionTLS13,
	}
}

// verify checks the peer's certificate against the authorities, its usage and
// its role.
func (k *Keys) verify(state tls.ConnectionState, usage x509.ExtKeyUsage, roles []string) error {
	id, err := PeerIdentity(state)
	if err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err = state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         k.current.Load().pool,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		return eris.Wrapf(err, "verify peer %q", id.Name)
	}
	if !slices.Contains(roles, id.Role) {
		return eris.Errorf("peer %q is an %s, which may not act as %v", id.Name, id.Role, roles)
	}
	return nil
}

// PeerIdentity returns the identity in the peer's certificate.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, eris.New("peer sent no certificate")
	}
	return of(state.PeerCertificates[0])
}
