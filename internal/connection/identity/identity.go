// Package identity generates the certificate authority and the node certificates, and
// provides the TLS configurations of links.
package identity

import (
	"crypto/x509"
	"os"
	"slices"
	"strings"

	"github.com/rotisserie/eris"
)

// Node roles, as written in certificates.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Identity is the node described by the subject of its certificate.
type Identity struct {
	Name       string
	Role       string
	DataCentre string
}

// IsRole reports whether role is a valid node role.
func IsRole(role string) bool {
	return slices.Contains([]string{RoleEntry, RoleAgent}, role)
}

// nodeIdentity returns the identity in a node's certificate, or an error if its role is
// not valid.
func nodeIdentity(cert *x509.Certificate) (Identity, error) {
	id := subjectIdentity(cert)
	if !IsRole(id.Role) {
		return Identity{}, eris.Errorf("peer %q: certificate has no valid node role", id.Name)
	}
	return id, nil
}

// subjectIdentity reads name, role and data centre from the subject of cert.
func subjectIdentity(cert *x509.Certificate) Identity {
	id := Identity{Name: cert.Subject.CommonName}
	if len(cert.Subject.OrganizationalUnit) == 1 {
		id.Role = cert.Subject.OrganizationalUnit[0]
	}
	if len(cert.Subject.Locality) == 1 {
		id.DataCentre = cert.Subject.Locality[0]
	}
	return id
}

// ReadPEM returns value if it is PEM text, and otherwise the content of the file at that
// path.
func ReadPEM(value string) ([]byte, error) {
	if strings.HasPrefix(strings.TrimSpace(value), "-----BEGIN") {
		return []byte(value), nil
	}
	b, err := os.ReadFile(value)
	return b, eris.Wrap(err, "read PEM file")
}
