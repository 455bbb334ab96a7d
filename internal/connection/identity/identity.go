// Package identity makes the certificate authority and node certificates, and the
// TLS configurations of links.
package identity

import (
	"crypto/x509"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Roles of nodes in their certificates.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Identity is what a node's certificate says of it.
type Identity struct {
	Name       string
	Role       string
	DataCentre string
}

// IsRole reports whether role is one of a node.
func IsRole(role string) bool {
	return slices.Contains([]string{RoleEntry, RoleAgent}, role)
}

// of returns the identity in a node's certificate.
func of(cert *x509.Certificate) (Identity, error) {
	id := subjectOf(cert)
	if !IsRole(id.Role) {
		return Identity{}, eris.Errorf("peer %q has no role of the system", id.Name)
	}
	return id, nil
}

func subjectOf(cert *x509.Certificate) Identity {
	id := Identity{Name: cert.Subject.CommonName}
	if len(cert.Subject.OrganizationalUnit) == 1 {
		id.Role = cert.Subject.OrganizationalUnit[0]
	}
	if len(cert.Subject.Locality) == 1 {
		id.DataCentre = cert.Subject.Locality[0]
	}
	return id
}

// ReadPEM returns value when it is PEM text, and the file of that path otherwise.
func ReadPEM(value string) ([]byte, error) {
	if strings.HasPrefix(strings.TrimSpace(value), "-----BEGIN") {
		return []byte(value), nil
	}
	b, err := os.ReadFile(value)
	return b, eris.Wrap(err, "read PEM file")
}
