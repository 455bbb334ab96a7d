package identity

import (
	"crypto/sha256"
	"crypto/x509"
	"encoding/hex"
	"encoding/pem"
	"slices"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// CertificateDetails holds the fields of a certificate that are shown to operators.
type CertificateDetails struct {
	Name       string    `json:"name"`
	Role       string    `json:"role,omitempty"`
	DataCentre string    `json:"data_centre,omitempty"`
	Hosts      string    `json:"hosts,omitempty"`
	Issuer     string    `json:"issuer"`
	CA         bool      `json:"ca"`
	Expires    time.Time `json:"expires"`
	// SHA256 is the fingerprint of the certificate in hexadecimal.
	SHA256 string `json:"sha256"`
}

// Describe returns the details of each certificate in value, which is PEM text or a file
// path.
func Describe(value string) ([]CertificateDetails, error) {
	rest, err := ReadPEM(value)
	if err != nil {
		return nil, err
	}
	var details []CertificateDetails
	for {
		var block *pem.Block
		block, rest = pem.Decode(rest)
		if block == nil {
			break
		}
		if block.Type != "CERTIFICATE" {
			continue
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, eris.Wrap(err, "parse certificate")
		}
		details = append(details, describe(cert))
	}
	if len(details) == 0 {
		return nil, eris.New("no certificate in the PEM text")
	}
	return details, nil
}

func describe(cert *x509.Certificate) CertificateDetails {
	id := subjectIdentity(cert)
	hash := sha256.Sum256(cert.Raw)
	hosts := slices.Clone(cert.DNSNames)
	for _, ip := range cert.IPAddresses {
		hosts = append(hosts, ip.String())
	}
	return CertificateDetails{
		Name:       id.Name,
		Role:       id.Role,
		DataCentre: id.DataCentre,
		Hosts:      strings.Join(hosts, ","),
		Issuer:     cert.Issuer.CommonName,
		CA:         cert.IsCA,
		Expires:    cert.NotAfter,
		SHA256:     hex.EncodeToString(hash[:]),
	}
}
