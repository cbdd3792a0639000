package issuer

import (
	"crypto"
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"
)

// Names of the PEM files that Keys writes.
const (
	FileCA   = "ca.pem"
	FileCert = "cert.pem"
	FileKey  = "key.pem"
)

// maxClockSkew is the largest clock difference between instances that a new
// certificate tolerates.
const maxClockSkew = time.Hour

// Request describes the peer certificate to issue.
type Request struct {
	Names     []string
	Addresses []net.IP
	Lifetime  time.Duration
}

// Keys creates a cluster CA and one peer certificate and writes them to a
// directory. The CA's private key is not kept, so that the CA can't sign another
// certificate. Keys fails when one of the files exists.
func Keys(now time.Time, dir string, request Request) error {
	files, err := issueCertificates(now, request)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return errors.Wrap(err, "create directory")
	}
	for _, name := range []string{FileCA, FileCert, FileKey} {
		if _, err := os.Lstat(filepath.Join(dir, name)); !errors.Is(err, os.ErrNotExist) {
			return errors.Errorf("%s exists already; existing keys are not replaced", filepath.Join(dir, name))
		}
	}
	for _, name := range []string{FileCA, FileCert, FileKey} {
		if err := writeFile(filepath.Join(dir, name), files[name]); err != nil {
			return err
		}
	}
	return nil
}

// issueCertificates returns the contents of the PEM files by file name.
func issueCertificates(now time.Time, request Request) (map[string][]byte, error) {
	ca := newTemplate(now, request.Lifetime, "sycamorerun cluster CA")
	ca.IsCA, ca.BasicConstraintsValid, ca.MaxPathLenZero = true, true, true
	ca.KeyUsage = x509.KeyUsageCertSign
	peer := newTemplate(now, request.Lifetime, "sycamorerun peer")
	peer.KeyUsage = x509.KeyUsageDigitalSignature
	peer.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	peer.DNSNames, peer.IPAddresses = request.Names, request.Addresses

	caPublicKey, caPrivateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	peerPublicKey, peerPrivateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	caPEM, err := signCertificate(ca, ca, caPublicKey, caPrivateKey)
	if err != nil {
		return nil, err
	}
	peerPEM, err := signCertificate(peer, ca, peerPublicKey, caPrivateKey)
	if err != nil {
		return nil, err
	}
	key, err := x509.MarshalPKCS8PrivateKey(peerPrivateKey)
	if err != nil {
		return nil, errors.Wrap(err, "encode key")
	}
	return map[string][]byte{
		FileCA: caPEM, FileCert: peerPEM,
		FileKey: pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}),
	}, nil
}

func newTemplate(now time.Time, lifetime time.Duration, name string) *x509.Certificate {
	serial := make([]byte, 16)
	rand.Read(serial)
	// A serial number is positive and at most 20 bytes long (RFC 5280, section
	// 4.1.2.2).
	serial[0] = serial[0]&0x7f | 1
	return &x509.Certificate{
		SerialNumber: new(big.Int).SetBytes(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-maxClockSkew),
		NotAfter:     now.Add(lifetime),
	}
}

func signCertificate(certificate, parent *x509.Certificate, publicKey crypto.PublicKey, signer crypto.Signer) ([]byte, error) {
	data, err := x509.CreateCertificate(rand.Reader, certificate, parent, publicKey, signer)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate")
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: data}), nil
}

// writeFile creates a file that only its owner can access. It fails when the
// file exists.
func writeFile(name string, data []byte) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	_, err = file.Write(data)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "write file")
}
