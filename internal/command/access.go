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

// Environment variables that replace flags.
const (
	addressVariable = "ROSEMARYBAY_ADDRESS"
	tokenVariable   = "ROSEMARYBAY_TOKEN"
)

const defaultAddress = "http://127.0.0.1:7001"

// accessFlags say how an entry is reached.
type accessFlags struct {
	tokenFile string
	ca        string
}

func (c *call) accessFlags() {
	address := os.Getenv(addressVariable)
	if address == "" {
		address = defaultAddress
	}
	c.flags.StringVar(&c.address, "address", address, "`URL` of an entry or of the balancer")
	c.flags.StringVar(&c.access.tokenFile, "token-file", "", "`FILE` with the bearer token; without it the token is taken from "+tokenVariable)
	c.flags.StringVar(&c.access.ca, "ca", "", "PEM `FILE` of the authority of the entry's certificate; without it that of the machine")
}

// connect makes the HTTP client of the call.
func (c *call) connect() error {
	u, err := url.Parse(c.address)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("%w: address %q is not an http or https URL", errUsage, c.address)
	}
	token, err := c.token()
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	transport := &http.Transport{}
	if c.access.ca != "" {
		transport.TLSClientConfig, err = trust(c.access.ca)
		if err != nil {
			return fmt.Errorf("%w: %w", errUsage, err)
		}
	}
	c.http = &http.Client{Transport: &bearer{next: transport, token: token}}
	return nil
}

func (c *call) token() (string, error) {
	if c.access.tokenFile == "" {
		return os.Getenv(tokenVariable), nil
	}
	b, err := os.ReadFile(c.access.tokenFile)
	return strings.TrimSpace(string(b)), err
}

func trust(path string) (*tls.Config, error) {
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

// bearer adds a token to each request.
type bearer struct {
	next  http.RoundTripper
	token string
}

// RoundTrip implements http.RoundTripper.
func (b *bearer) RoundTrip(r *http.Request) (*http.Response, error) {
	if b.token != "" {
		r = r.Clone(r.Context())
		r.Header.Set("Authorization", "Bearer "+b.token)
	}
	return b.next.RoundTrip(r)
}

func (c *call) fleet() apiv1connect.FleetServiceClient {
	return apiv1connect.NewFleetServiceClient(c.http, c.address)
}

func (c *call) config() apiv1connect.ConfigServiceClient {
	return apiv1connect.NewConfigServiceClient(c.http, c.address)
}
