package identity

import (
	"crypto/tls"
	"crypto/x509"
	"slices"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// Protocol is the ALPN protocol name of links between nodes.
const Protocol = "rosemarybay/1"

// KeyFiles gives the certificate authorities, the certificate and the private key of a node,
// each as PEM text or a file path. CA may hold several certificates, such as the old and
// the new one during a rotation.
type KeyFiles struct {
	CA, Cert, Key string
}

// Keys holds the trusted authorities, the certificate and the private key of a node. They
// can be replaced while links are open: each handshake uses the current ones.
type Keys struct {
	current   atomic.Pointer[keySet]
	onRefused func(error)
}

// keySet is one immutable set of authorities, certificate and private key.
type keySet struct {
	pool *x509.CertPool
	pair tls.Certificate
}

// Load reads the keys of a node. onRefused is called with the error of each refused
// handshake and may be nil.
func Load(files KeyFiles, onRefused func(error)) (*Keys, error) {
	if onRefused == nil {
		onRefused = func(error) {}
	}
	k := &Keys{onRefused: onRefused}
	return k, k.Reload(files)
}

// Reload replaces the keys for later handshakes and keeps open links. On error the current
// keys stay in use.
func (k *Keys) Reload(files KeyFiles) error {
	set, err := loadKeySet(files)
	if err != nil {
		return err
	}
	k.current.Store(set)
	return nil
}

func loadKeySet(files KeyFiles) (*keySet, error) {
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
	set := &keySet{pool: x509.NewCertPool()}
	if !set.pool.AppendCertsFromPEM(ca) {
		return nil, eris.New("tls.ca holds no certificate")
	}
	set.pair, err = tls.X509KeyPair(cert, key)
	return set, eris.Wrap(err, "tls.cert and tls.key")
}

// ClientConfig returns the TLS configuration for dialled links: the peer must be an entry.
func (k *Keys) ClientConfig() *tls.Config {
	return k.config(x509.ExtKeyUsageServerAuth, RoleEntry)
}

// ServerConfig returns the TLS configuration for accepted links: the peer must be an entry
// or an agent.
func (k *Keys) ServerConfig() *tls.Config {
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
		ClientAuth:         tls.RequestClientCert, // verify refuses a missing certificate, so that it is counted
		InsecureSkipVerify: true,                  // verify checks the chain; peers are dialled by IP and have no host names
		VerifyConnection: func(state tls.ConnectionState) error {
			err := k.verify(state, usage, roles)
			if err != nil {
				k.onRefused(err)
			}
			return err
		},
		SessionTicketsDisabled: true, // a resumed session could outlive the authority that signed its certificate
		NextProtos:             []string{Protocol},
		MinVersion:             tls.VersionTLS13,
	}
}

// verify checks that the peer's certificate is signed by a trusted authority, is valid for
// usage and has one of roles.
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
		return eris.Errorf("peer %q has the role %s, expected one of %v", id.Name, id.Role, roles)
	}
	return nil
}

// PeerIdentity returns the identity in the peer's certificate.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, eris.New("peer sent no certificate")
	}
	return nodeIdentity(state.PeerCertificates[0])
}
