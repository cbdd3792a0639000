package issuer_test

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/ctl/issuer"
)

// TestToken guards against tokens that repeat and against a hash that is not
// SHA-256 over the token's text, which nodes would not recognize.
func TestToken(t *testing.T) {
	is := is.New(t)
	token, hash := issuer.Token()
	other, _ := issuer.Token()
	is.True(token != other)
	is.Equal(len(token), 64)
	is.Equal(hash, issuer.Hash(token))
	is.Equal(issuer.Hash("abc"), "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")
}

// TestKeys guards against key files that others can read, against replacing
// existing keys, and against certificates with which two peers can't complete a
// mutual TLS 1.3 handshake.
func TestKeys(t *testing.T) {
	is := is.New(t)
	dir := filepath.Join(t.TempDir(), "keys")
	now := time.Now()
	request := issuer.Request{Names: []string{"sycamorerun"}, Addresses: []net.IP{net.IPv4(127, 0, 0, 1)}, Lifetime: time.Hour}
	is.NoErr(issuer.Keys(now, dir, request))
	is.True(issuer.Keys(now, dir, request) != nil)
	for _, name := range []string{issuer.FileCA, issuer.FileCert, issuer.FileKey} {
		info, err := os.Stat(filepath.Join(dir, name))
		is.NoErr(err)
		is.Equal(info.Mode().Perm(), os.FileMode(0o600))
	}
	certificate, err := tls.LoadX509KeyPair(filepath.Join(dir, issuer.FileCert), filepath.Join(dir, issuer.FileKey))
	is.NoErr(err)
	caPEM, err := os.ReadFile(filepath.Join(dir, issuer.FileCA))
	is.NoErr(err)
	pool := x509.NewCertPool()
	is.True(pool.AppendCertsFromPEM(caPEM))
	config := &tls.Config{
		Certificates: []tls.Certificate{certificate}, RootCAs: pool, ClientCAs: pool, ServerName: "127.0.0.1",
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
	clientConn, serverConn := net.Pipe()
	defer clientConn.Close()
	defer serverConn.Close()
	is.NoErr(clientConn.SetDeadline(now.Add(5 * time.Second)))
	is.NoErr(serverConn.SetDeadline(now.Add(5 * time.Second)))
	serverErr := make(chan error, 1)
	go func() {
		server := tls.Server(serverConn, config)
		serverErr <- server.Handshake()
	}()
	is.NoErr(tls.Client(clientConn, config).Handshake())
	is.NoErr(<-serverErr)
}
