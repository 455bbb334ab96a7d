package identity

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"time"

	"github.com/rotisserie/eris"
)

// Validity periods of generated certificates. NotBefore is set back by clockSkew, so that
// nodes with slower clocks accept a new certificate.
const (
	caValidity   = 10 * 365 * 24 * time.Hour
	nodeValidity = 365 * 24 * time.Hour
	clockSkew    = time.Hour
)

const serialBits = 127

// KeyPair is a certificate and its private key, both as PEM text.
type KeyPair struct {
	Cert string
	Key  string
}

// NewCA generates a self-signed certificate authority.
func NewCA(name string) (KeyPair, error) {
	template, err := newTemplate(pkix.Name{CommonName: name}, caValidity)
	if err != nil {
		return KeyPair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	return sign(template, nil, nil)
}

// NewNodeCertificate generates the certificate of a node, signed by ca. An agent's
// certificate is valid for client authentication only, so an agent cannot act as an entry.
func NewNodeCertificate(ca KeyPair, id Identity) (KeyPair, error) {
	template, err := newTemplate(subjectName(id), nodeValidity)
	if err != nil {
		return KeyPair{}, err
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	if id.Role == RoleEntry {
		template.ExtKeyUsage = append(template.ExtKeyUsage, x509.ExtKeyUsageServerAuth)
	}
	return signBy(ca, template)
}

func subjectName(id Identity) pkix.Name {
	return pkix.Name{
		CommonName:         id.Name,
		OrganizationalUnit: []string{id.Role},
		Locality:           []string{id.DataCentre},
	}
}

// NewServerCertificate generates the server certificate of the caller port, signed by ca,
// for the given host names and IP addresses.
func NewServerCertificate(ca KeyPair, name string, hosts []string) (KeyPair, error) {
	template, err := newTemplate(pkix.Name{CommonName: name}, nodeValidity)
	if err != nil {
		return KeyPair{}, err
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	for _, host := range hosts {
		if ip := net.ParseIP(host); ip != nil {
			template.IPAddresses = append(template.IPAddresses, ip)
			continue
		}
		template.DNSNames = append(template.DNSNames, host)
	}
	return signBy(ca, template)
}

func signBy(ca KeyPair, template *x509.Certificate) (KeyPair, error) {
	parent, err := tls.X509KeyPair([]byte(ca.Cert), []byte(ca.Key))
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "load certificate authority")
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	return sign(template, parent.Leaf, parent.PrivateKey)
}

func newTemplate(subject pkix.Name, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "generate serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

// sign generates a key and signs the certificate of template with parentKey; a nil parent
// gives a self-signed certificate.
func sign(template, parent *x509.Certificate, parentKey any) (KeyPair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "generate key")
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, eris.Wrap(err, "encode key")
	}
	return KeyPair{
		Cert: string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		Key:  string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})),
	}, nil
}
