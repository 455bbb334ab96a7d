package caller

import (
	"sync/atomic"

	llibtls "github.com/lesismal/llib/std/crypto/tls"
	"github.com/rotisserie/eris"

	"github.com/rosemarybay/rosemarybay/internal/connection/identity"
)

// Keys holds the certificate and private key for HTTPS. They can be replaced while
// connections are open: each handshake uses the pair that is current at that time.
type Keys struct {
	pair atomic.Pointer[llibtls.Certificate]
}

// LoadKeys reads a certificate and its private key, each given as PEM text or a file path.
func LoadKeys(cert, key string) (*Keys, error) {
	k := &Keys{}
	return k, k.Reload(cert, key)
}

// Reload replaces the certificate and key for later handshakes. On error the current ones
// stay in use.
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
