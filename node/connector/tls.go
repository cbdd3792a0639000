package connector

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"

	"github.com/pkg/errors"
)

// serverTLS returns a server configuration that requires a client certificate
// issued by the cluster's CA.
func serverTLS(config *tls.Config) *tls.Config {
	config = config.Clone()
	config.MinVersion = tls.VersionTLS13
	// Clients have no session cache, so tickets would only add traffic.
	config.SessionTicketsDisabled = true
	config.ClientAuth = tls.RequireAndVerifyClientCert
	if config.ClientCAs == nil {
		config.ClientCAs = config.RootCAs
	}
	return config
}

// clientTLS returns a client configuration that verifies the server's certificate
// against the cluster's CA. Peers are dialled by IP address and instances change
// addresses, so the host name is verified only if config sets one.
func clientTLS(config *tls.Config) *tls.Config {
	config = config.Clone()
	config.MinVersion = tls.VersionTLS13
	roots, name := config.RootCAs, config.ServerName
	config.InsecureSkipVerify = true
	config.VerifyConnection = func(state tls.ConnectionState) error {
		options := x509.VerifyOptions{Roots: roots, DNSName: name, Intermediates: x509.NewCertPool()}
		for _, certificate := range state.PeerCertificates[1:] {
			options.Intermediates.AddCert(certificate)
		}
		_, err := state.PeerCertificates[0].Verify(options)
		return errors.Wrap(err, "verify peer certificate")
	}
	return config
}

// handshakeTLS performs the TLS handshake. Without a configuration it returns the
// plain connection.
func handshakeTLS(ctx context.Context, conn net.Conn, config *tls.Config, dialled bool) (net.Conn, error) {
	if config == nil {
		return conn, nil
	}
	var secured *tls.Conn
	if dialled {
		secured = tls.Client(conn, clientTLS(config))
	} else {
		secured = tls.Server(conn, serverTLS(config))
	}
	return secured, errors.Wrap(secured.HandshakeContext(ctx), "TLS handshake")
}
