// Package identity makes the certificate authority and node certificates, and the
// TLS configurations of links.
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
	"os"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Protocol is the ALPN name of links between the system's processes.
const Protocol = "rosemarybay/1"

// Validity of certificates made here.
const (
	caValidity   = 10 * 365 * 24 * time.Hour
	nodeValidity = 365 * 24 * time.Hour
	clockSkew    = time.Hour
)

const serialBits = 127

// Pair is a certificate and its key, both as PEM.
type Pair struct {
	Cert string
	Key  string
}

// Identity is what a node's certificate says of it.
type Identity struct {
	Name       string
	Role       string
	DataCentre string
}

// NewCA makes a certificate authority.
func NewCA(name string) (Pair, error) {
	template, err := newTemplate(pkix.Name{CommonName: name}, caValidity)
	if err != nil {
		return Pair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	return sign(template, nil, nil)
}

// NewNode makes the certificate of a node, signed by ca.
func NewNode(ca Pair, id Identity) (Pair, error) {
	parent, err := tls.X509KeyPair([]byte(ca.Cert), []byte(ca.Key))
	if err != nil {
		return Pair{}, eris.Wrap(err, "load certificate authority")
	}
	subject := pkix.Name{
		CommonName:         id.Name,
		OrganizationalUnit: []string{id.Role},
		Locality:           []string{id.DataCentre},
	}
	template, err := newTemplate(subject, nodeValidity)
	if err != nil {
		return Pair{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	return sign(template, parent.Leaf, parent.PrivateKey)
}

func newTemplate(subject pkix.Name, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, eris.Wrap(err, "make serial number")
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      subject,
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

func sign(template, parent *x509.Certificate, parentKey any) (Pair, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Pair{}, eris.Wrap(err, "make key")
	}
	if parent == nil {
		parent, parentKey = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, parentKey)
	if err != nil {
		return Pair{}, eris.Wrap(err, "sign certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Pair{}, eris.Wrap(err, "encode key")
	}
	return Pair{
		Cert: string(pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})),
		Key:  string(pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})),
	}, nil
}

// LoadTLS returns the mutual TLS configuration of a node. Each argument is PEM
// text or a path. Peers are verified against the authority and must be entries
// or agents; host names are not used.
func LoadTLS(ca, cert, key string) (*tls.Config, error) {
	caPEM, err := readPEM(ca)
	if err != nil {
		return nil, err
	}
	certPEM, err := readPEM(cert)
	if err != nil {
		return nil, err
	}
	keyPEM, err := readPEM(key)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, eris.New("tls.ca holds no certificate")
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, eris.Wrap(err, "tls.cert and tls.key")
	}
	return &tls.Config{
		Certificates:          []tls.Certificate{pair},
		ClientCAs:             pool,
		ClientAuth:            tls.RequireAnyClientCert,
		InsecureSkipVerify:    true, // verifyPeer checks the chain; peers are dialled by IP and have no host names.
		VerifyPeerCertificate: verifyPeer(pool),
		NextProtos:            []string{Protocol},
		MinVersion:            tls.VersionTLS13,
	}, nil
}

func verifyPeer(pool *x509.CertPool) func([][]byte, [][]*x509.Certificate) error {
	return func(raw [][]byte, _ [][]*x509.Certificate) error {
		if len(raw) == 0 {
			return eris.New("peer sent no certificate")
		}
		cert, err := x509.ParseCertificate(raw[0])
		if err != nil {
			return eris.Wrap(err, "parse peer certificate")
		}
		_, err = cert.Verify(x509.VerifyOptions{Roots: pool, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
		return err
	}
}

// PeerIdentity returns the identity in the peer's certificate.
func PeerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, eris.New("peer sent no certificate")
	}
	subject := state.PeerCertificates[0].Subject
	id := Identity{Name: subject.CommonName}
	if len(subject.OrganizationalUnit) == 1 {
		id.Role = subject.OrganizationalUnit[0]
	}
	if len(subject.Locality) == 1 {
		id.DataCentre = subject.Locality[0]
	}
	if !slices.Contains([]string{"entry", "agent"}, id.Role) {
		return Identity{}, eris.Errorf("peer %q has no role of the system", id.Name)
	}
	return id, nil
}

func readPEM(value string) ([]byte, error) {
	if strings.HasPrefix(strings.TrimSpace(value), "-----BEGIN") {
		return []byte(value), nil
	}
	b, err := os.ReadFile(value)
	return b, eris.Wrap(err, "read PEM file")
}
