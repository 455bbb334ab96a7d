package caller

import (
	"sync/atomic"

	llibtls "github.com/lesismal/llib/std/crypto/tls"
	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
)

// Keys are the certificate and key of HTTPS. They can be replaced while
// connections are open: each handshake uses those of its time.
type Keys struct {
	pair atomic.Pointer[llibtls.Certificate]
}

// LoadKeys reads a certificate and its key; each is PEM text or a path.
func LoadKeys(cert, key string) (*Keys, error) {
	k := &Keys{}
	return k, k.Reload(cert, key)
}

// Reload replaces the keys for later handshakes; after an error the present
// ones stay.
func (k *Keys) Reload(cert, key string) error {
	certPEM, err := identity.ReadPEM(cert)
	if err != nil {
		return err
	}
	keyPEM, err := identity.ReadPEM(key)
	if err != nil {
		return err
	}
	pair, err := llibtls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return eris.Wrap(err, "caller_tls.cert and caller_tls.key")
	}
	k.pair.Store(&pair)
	return nil
}

func (k *Keys) config() *llibtls.Config {
	return &llibtls.Config{
		GetCertificate: func(*llibtls.ClientHelloInfo) (*llibtls.Certificate, error) {
			return k.pair.Load(), nil
		},
		SessionTicketsDisabled: true,
		MinVersion:             llibtls.VersionTLS12,
	}
}
