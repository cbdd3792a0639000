package connector

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"

	"github.com/pkg/errors"
)

// serverTLS requires a certificate of the cluster's CA from every client.
func serverTLS(config *tls.Config) *tls.Config {
	config = config.Clone()
	config.MinVersion = tls.VersionTLS13
	// Clients keep no session cache, so tickets would only cost bytes.
	config.SessionTicketsDisabled = true
	config.ClientAuth = tls.RequireAndVerifyClientCert
	if config.ClientCAs == nil {
		config.ClientCAs = config.RootCAs
	}
	return config
}

// clientTLS verifies that the server's certificate belongs to the cluster's
// CA. Peers are dialled by IP address and instances change addresses, so a
// host name is verified only when config sets one.
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

// secure completes the TLS handshake. Without a configuration the connection
// stays plain.
func secure(ctx context.Context, conn net.Conn, config *tls.Config, dialled bool) (net.Conn, error) {
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
