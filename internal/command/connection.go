package command

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"

	"github.com/rosemarybay/rosemarybay/api/v1/apiv1connect"
)

// Environment variables that provide defaults for flags.
const (
	addressVariable = "ROSEMARYBAY_ADDRESS"
	tokenVariable   = "ROSEMARYBAY_TOKEN"
)

const defaultAddress = "http://127.0.0.1:7001"

// connectionFlags hold the credentials and the CA file for connecting to an entry.
type connectionFlags struct {
	tokenFile string
	ca        string
}

func (c *invocation) registerConnectionFlags() {
	address := os.Getenv(addressVariable)
	if address == "" {
		address = defaultAddress
	}
	c.flags.StringVar(&c.address, "address", address, "`URL` of an entry or of the balancer")
	c.flags.StringVar(&c.connection.tokenFile, "token-file", "", "`FILE` with the bearer token; without it the token is taken from "+tokenVariable)
	c.flags.StringVar(&c.connection.ca, "ca", "", "PEM `FILE` of the authority of the entry's certificate; without it that of the machine")
}

// connect validates the address and creates the HTTP client of the command.
func (c *invocation) connect() error {
	u, err := url.Parse(c.address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("%w: address %q is not an http or https URL", errUsage, c.address)
	}
	token, err := c.token()
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	transport := &http.Transport{}
	if c.connection.ca != "" {
		transport.TLSClientConfig, err = tlsConfig(c.connection.ca)
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
	}
	c.http = &http.Client{Transport: &bearerTransport{next: transport, token: token}}
	return nil
}

// token returns the bearer token from the file or the environment, or "" for none.
func (c *invocation) token() (string, error) {
	if c.connection.tokenFile == "" {
		return os.Getenv(tokenVariable), nil
	}
	b, err := os.ReadFile(c.connection.tokenFile)
	return strings.TrimSpace(string(b)), err
}

// tlsConfig returns a TLS configuration that trusts only the CAs in a PEM file.
func tlsConfig(path string) (*tls.Config, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, fmt.Errorf("%s holds no certificate", path)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// bearerTransport adds the Authorization header to each request unless the
// token is empty.
type bearerTransport struct {
	next  http.RoundTripper
	token string
}

// RoundTrip implements http.RoundTripper.
func (b *bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	return b.next.RoundTrip(r)
}

func (c *invocation) fleet() apiv1connect.FleetServiceClient {
	return apiv1connect.NewFleetServiceClient(c.http, c.address)
}

func (c *invocation) config() apiv1connect.ConfigServiceClient {
	return apiv1connect.NewConfigServiceClient(c.http, c.address)
}
