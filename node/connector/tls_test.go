package connector_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"math/big"
	"testing"
	"time"

	"github.com/matryer/is"

	"sycamorerun/node/connector"
)

// authority is the certificate authority of one cluster.
type authority struct {
	t           testing.TB
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newAuthority(t testing.TB) authority {
	a := authority{t: t}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	a.certificate, a.key = a.issue(template, template, nil)
	return a
}

func (a authority) issue(template, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	if signer == nil {
		signer = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return certificate, key
}

// config returns the TLS configuration of a node. Its certificate has expired if
// lifetime is negative.
func (a authority) config(lifetime time.Duration) *tls.Config {
	certificate, key := a.issue(&x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(lifetime),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a.certificate, a.key)
	roots := x509.NewCertPool()
	roots.AddCert(a.certificate)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{certificate.Raw}, PrivateKey: key}},
		RootCAs:      roots,
	}
}

// TestCertificates guards against accepting a peer, in either direction, without
// a valid certificate of the cluster.
func TestCertificates(t *testing.T) {
	cluster, other := newAuthority(t), newAuthority(t)
	noCertificate := cluster.config(time.Hour)
	noCertificate.Certificates = nil
	tls12 := cluster.config(time.Hour)
	tls12.MaxVersion = tls.VersionTLS12
	foreign := other.config(time.Hour)
	foreign.RootCAs = cluster.config(time.Hour).RootCAs
	cases := map[string]struct {
		config *tls.Config
		valid  bool
	}{
		"same cluster":        {cluster.config(time.Hour), true},
		"other cluster":       {other.config(time.Hour), false},
		"foreign certificate": {foreign, false},
		"expired":             {cluster.config(-time.Hour), false},
		"no certificate":      {noCertificate, false},
		"plain TCP":           {nil, false},
		"TLS 1.2":             {tls12, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			limits := func(c *connector.Connector) { c.Limits = connector.Limits{Dial: 2 * time.Second} }
			member, _ := start(t, "a", cluster.config(time.Hour), limits)
			peer, _ := start(t, "b", test.config, limits)
			is.Equal(echo(peer, member.Self.Address) == nil, test.valid)
			is.Equal(echo(member, peer.Self.Address) == nil, test.valid)
			is.Equal(member.Sessions() > 0, test.valid)
		})
	}
}
