package runner

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// loadTLS returns the TLS configuration for connections to peers, or nil for insecure
// peers.
func loadTLS(s Settings) (*tls.Config, error) {
	if s.Insecure {
		return nil, nil
	}
	caPEM, err := os.ReadFile(s.CA)
	if err != nil {
		return nil, errors.Wrap(err, "read CA")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, errors.Errorf("no certificate in %s", s.CA)
	}
	certificate, err := tls.LoadX509KeyPair(s.Certificate, s.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate")
	}
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
	}, nil
}
