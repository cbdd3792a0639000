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

// TestToken guards that tokens differ and that the hash is that of the text.
func TestToken(t *testing.T) {
	is := is.New(t)
	token, hash := issuer.Token()
	other, _ := issuer.Token()
	is.True(token != other)
	is.Equal(len(token), 64)
	is.Equal(hash, issuer.Hash(token))
	is.Equal(issuer.Hash("abc"), "sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad")
}

// TestKeys guards the modes of the files, that existing keys stay, and that
// two peers with the files complete a mutual TLS 1.3 handshake.
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
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, issuer.FileCert), filepath.Join(dir, issuer.FileKey))
	is.NoErr(err)
	authority, err := os.ReadFile(filepath.Join(dir, issuer.FileCA))
	is.NoErr(err)
	pool := x509.NewCertPool()
	is.True(pool.AppendCertsFromPEM(authority))
	config := &tls.Config{
		Certificates: []tls.Certificate{pair}, RootCAs: pool, ClientCAs: pool, ServerName: "127.0.0.1",
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	is.NoErr(near.SetDeadline(now.Add(5 * time.Second)))
	is.NoErr(far.SetDeadline(now.Add(5 * time.Second)))
	accepted := make(chan error, 1)
	go func() {
		server := tls.Server(far, config)
		accepted <- server.Handshake()
	}()
	is.NoErr(tls.Client(near, config).Handshake())
	is.NoErr(<-accepted)
}
