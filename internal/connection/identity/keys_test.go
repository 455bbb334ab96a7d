package identity

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// nodeFiles generates a node certificate signed by ca, for a node that trusts the
// authorities in trusted.
func nodeFiles(t *testing.T, ca KeyPair, trusted string, id Identity) (KeyFiles, KeyPair) {
	t.Helper()
	pair, err := NewNodeCertificate(ca, id)
	if err != nil {
		t.Fatal(err)
	}
	return KeyFiles{CA: trusted, Cert: pair.Cert, Key: pair.Key}, pair
}

func newAuthority(t *testing.T) KeyPair {
	t.Helper()
	ca, err := NewCA("test")
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// handshake does one TLS handshake over loopback and returns the error of each side.
func handshake(client, server *tls.Config) (clientErr, serverErr error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err, err
	}
	defer func() { _ = listener.Close() }()
	a, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		return err, err
	}
	defer func() { _ = a.Close() }()
	b, err := listener.Accept()
	if err != nil {
		return err, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	done := make(chan error, 1)
	go func() {
		done <- tls.Server(b, server).HandshakeContext(ctx)
		_ = b.Close()
	}()
	conn := tls.Client(a, client)
	clientErr = conn.HandshakeContext(ctx)
	if clientErr != nil {
		_ = a.Close()
	} else {
		// The server verifies the client's certificate after the client's handshake has
		// ended: the read returns its alert, or EOF if it accepted the certificate.
		if _, clientErr = conn.Read(make([]byte, 1)); errors.Is(clientErr, io.EOF) {
			clientErr = nil
		}
	}
	return clientErr, <-done
}

func load(t *testing.T, files KeyFiles, refused func(error)) *Keys {
	t.Helper()
	keys, err := Load(files, refused)
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

var (
	testEntry = Identity{Name: "e1", Role: RoleEntry, DataCentre: "nbo1"}
	testAgent = Identity{Name: "a1", Role: RoleAgent, DataCentre: "nbo1"}
)

func TestServerRefusesInvalidCertificates(t *testing.T) {
	ca, other := newAuthority(t), newAuthority(t)
	files, _ := nodeFiles(t, ca, ca.Cert, testEntry)
	foreign, _ := nodeFiles(t, other, ca.Cert, testAgent)
	noRole, _ := nodeFiles(t, ca, ca.Cert, Identity{Name: "x", Role: "boss", DataCentre: "nbo1"})
	agent, _ := nodeFiles(t, ca, ca.Cert, testAgent)
	expired := agent
	expired.Cert, expired.Key = expiredAgent(t, ca)
	web, err := NewServerCertificate(ca, "web", []string{"127.0.0.1"})
	if err != nil {
		t.Fatal(err)
	}
	server := KeyFiles{CA: ca.Cert, Cert: web.Cert, Key: web.Key}
	for _, c := range []struct {
		name  string
		files KeyFiles
		want  bool
	}{
		{"agent", agent, true},
		{"wrong authority", foreign, false},
		{"unknown role", noRole, false},
		{"expired", expired, false},
		{"certificate of the caller port", server, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var refused atomic.Int32
			accept := load(t, files, func(error) { refused.Add(1) })
			_, err := handshake(load(t, c.files, nil).ClientConfig(), accept.ServerConfig())
			if (err == nil) != c.want || (refused.Load() == 0) != c.want {
				t.Errorf("accepted: %t, refusals counted: %d, error: %v", err == nil, refused.Load(), err)
			}
		})
	}
}

func TestServerRefusesMissingCertificate(t *testing.T) {
	ca := newAuthority(t)
	files, _ := nodeFiles(t, ca, ca.Cert, testEntry)
	refused := 0
	accept := load(t, files, func(error) { refused++ })
	_, err := handshake(&tls.Config{InsecureSkipVerify: true, NextProtos: []string{Protocol}}, accept.ServerConfig())
	if err == nil || refused != 1 {
		t.Errorf("error %v, %d refusals counted, want an error and 1", err, refused)
	}
}

func TestAgentCannotActAsEntry(t *testing.T) {
	ca := newAuthority(t)
	dialling, _ := nodeFiles(t, ca, ca.Cert, testAgent)
	// One certificate is a normal agent certificate. The other is one that the authority
	// wrongly issued for server authentication: the role check must refuse it.
	plain, _ := nodeFiles(t, ca, ca.Cert, testAgent)
	issuedForServer := plain
	template, err := newTemplate(subjectName(testAgent), nodeValidity)
	if err != nil {
		t.Fatal(err)
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
	pair, err := signBy(ca, template)
	if err != nil {
		t.Fatal(err)
	}
	issuedForServer.Cert, issuedForServer.Key = pair.Cert, pair.Key
	for name, files := range map[string]KeyFiles{"agent": plain, "agent for serving": issuedForServer} {
		refused := 0
		client := load(t, dialling, func(error) { refused++ })
		if err, _ := handshake(client.ClientConfig(), load(t, files, nil).ServerConfig()); err == nil || refused != 1 {
			t.Errorf("%s: error %v, %d refusals counted, want an error and 1", name, err, refused)
		}
	}
}

func TestKeyRotationWithOverlappingAuthorities(t *testing.T) {
	oldCA, newCA := newAuthority(t), newAuthority(t)
	both := oldCA.Cert + newCA.Cert
	oldEntry, _ := nodeFiles(t, oldCA, both, testEntry)
	newEntry, _ := nodeFiles(t, newCA, both, testEntry)
	newOnly, _ := nodeFiles(t, newCA, newCA.Cert, testEntry)
	oldAgent, _ := nodeFiles(t, oldCA, both, testAgent)
	newAgent, _ := nodeFiles(t, newCA, both, testAgent)
	entry, agent := load(t, oldEntry, nil), load(t, oldAgent, nil)
	server, client := entry.ServerConfig(), agent.ClientConfig()
	expectHandshake := func(step string, want bool) {
		t.Helper()
		if _, err := handshake(client, server); (err == nil) != want {
			t.Errorf("%s: accepted: %t, want %t (%v)", step, err == nil, want, err)
		}
	}
	expectHandshake("both old", true)
	if err := entry.Reload(newEntry); err != nil {
		t.Fatal(err)
	}
	expectHandshake("entry new", true)
	if err := entry.Reload(newOnly); err != nil {
		t.Fatal(err)
	}
	expectHandshake("agent old, old authority gone", false)
	if err := agent.Reload(newAgent); err != nil {
		t.Fatal(err)
	}
	expectHandshake("both new", true)
	if err := entry.Reload(KeyFiles{CA: "no such file"}); err == nil {
		t.Error("invalid keys were accepted")
	}
	expectHandshake("after a faulty reload", true)
}

// expiredAgent generates an expired agent certificate.
func expiredAgent(t *testing.T, ca KeyPair) (cert, key string) {
	t.Helper()
	template, err := newTemplate(subjectName(testAgent), nodeValidity)
	if err != nil {
		t.Fatal(err)
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	template.NotAfter = time.Now().Add(-time.Minute)
	pair, err := signBy(ca, template)
	if err != nil {
		t.Fatal(err)
	}
	return pair.Cert, pair.Key
}
