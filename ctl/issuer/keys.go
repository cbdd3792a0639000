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

// Names of the files that Keys writes.
const (
	FileCA   = "ca.pem"
	FileCert = "cert.pem"
	FileKey  = "key.pem"
)

// skew is how far the clocks of the instances may differ.
const skew = time.Hour

// Request describes the peer certificate.
type Request struct {
	Names     []string
	Addresses []net.IP
	Lifetime  time.Duration
}

// Keys creates a cluster CA and one peer certificate in a directory. The CA's
// key is not kept, so the CA can't sign anything else.
func Keys(now time.Time, dir string, request Request) error {
	files, err := certify(now, request)
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
		if err := write(filepath.Join(dir, name), files[name]); err != nil {
			return err
		}
	}
	return nil
}

func certify(now time.Time, request Request) (map[string][]byte, error) {
	authority := template(now, request.Lifetime, "sycamorerun cluster CA")
	authority.IsCA, authority.BasicConstraintsValid, authority.MaxPathLenZero = true, true, true
	authority.KeyUsage = x509.KeyUsageCertSign
	peer := template(now, request.Lifetime, "sycamorerun peer")
	peer.KeyUsage = x509.KeyUsageDigitalSignature
	peer.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	peer.DNSNames, peer.IPAddresses = request.Names, request.Addresses

	authorityPublic, authorityKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	peerPublic, peerKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate key")
	}
	authorityPEM, err := sign(authority, authority, authorityPublic, authorityKey)
	if err != nil {
		return nil, err
	}
	peerPEM, err := sign(peer, authority, peerPublic, authorityKey)
	if err != nil {
		return nil, err
	}
	key, err := x509.MarshalPKCS8PrivateKey(peerKey)
	if err != nil {
		return nil, errors.Wrap(err, "encode key")
	}
	return map[string][]byte{
		FileCA: authorityPEM, FileCert: peerPEM,
		FileKey: pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}),
	}, nil
}

func template(now time.Time, lifetime time.Duration, name string) *x509.Certificate {
	serial := make([]byte, 16)
	rand.Read(serial)
	// A serial number is positive and has at most 20 bytes (RFC 5280, 4.1.2.2).
	serial[0] = serial[0]&0x7f | 1
	return &x509.Certificate{
		SerialNumber: new(big.Int).SetBytes(serial),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-skew),
		NotAfter:     now.Add(lifetime),
	}
}

func sign(certificate, parent *x509.Certificate, public crypto.PublicKey, key crypto.Signer) ([]byte, error) {
	data, err := x509.CreateCertificate(rand.Reader, certificate, parent, public, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign certificate")
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: data}), nil
}

// write creates the file for its owner only and fails when it exists.
func write(name string, data []byte) error {
	file, err := os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return errors.Wrap(err, "create file")
	}
	_, err = file.Write(data)
	if closing := file.Close(); err == nil {
		err = closing
	}
	return errors.Wrap(err, "write file")
}
