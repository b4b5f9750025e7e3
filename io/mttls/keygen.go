package mttls

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/hex"
	"encoding/pem"
	"math/big"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"magnoliaturn/io/mtsetting"
)

// Validity periods of the certificates that keygen creates. Those of daemons are
// short-lived, since a running daemon reloads a replaced certificate.
const (
	AuthorityLifetime   = 5 * 365 * 24 * time.Hour
	CertificateLifetime = 90 * 24 * time.Hour
)

// backdate is how far NotBefore lies in the past, so that a new certificate is
// already valid on a VM whose clock is behind.
const backdate = 10 * time.Minute

// Permissions of new files: private keys and secrets are readable only by their
// owner, certificates by all users.
const (
	privateMode = 0o600
	publicMode  = 0o644
)

const serialBits = 120

// MakeAuthority creates a certificate authority. It writes the certificate,
// which every daemon and operator needs, and the private key, which must not be
// stored on any VM. It fails if either file exists.
func MakeAuthority(now time.Time, certificateFile, keyFile string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return &FileError{File: keyFile, Reason: "cannot generate an Ed25519 key", Err: err}
	}
	template := &x509.Certificate{
		SerialNumber:          newSerial(),
		Subject:               pkix.Name{CommonName: "magnoliaturn authority"},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(AuthorityLifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return &FileError{File: certificateFile, Reason: "cannot create the authority's certificate", Err: err}
	}
	return writePair(certificateFile, keyFile, der, private)
}

// MakeCertificate writes a certificate for a daemon, issued by the authority for
// the given name and IP addresses, and its private key. It fails if either file
// exists.
func MakeCertificate(now time.Time, authority tls.Certificate, name string, addresses []netip.Addr, certificateFile, keyFile string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return &FileError{File: keyFile, Reason: "cannot generate an Ed25519 key", Err: err}
	}
	template := &x509.Certificate{
		SerialNumber: newSerial(),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(CertificateLifetime),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, address.AsSlice())
	}
	parent, err := x509.ParseCertificate(authority.Certificate[0])
	if err != nil {
		return &FileError{File: certificateFile, Reason: "cannot parse the authority's certificate", Err: err}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, authority.PrivateKey)
	if err != nil {
		return &FileError{File: certificateFile, Reason: "cannot create the daemon's certificate", Err: err}
	}
	return writePair(certificateFile, keyFile, der, private)
}

// MakeSecret writes a new shared secret for datagrams to a separate file. All
// daemons must accept a secret before any of them signs with it, so a rotation
// first appends it as the last line of the daemons' secret files, see
// docs/SECURITY.md. It fails if the file exists.
func MakeSecret(file string) error {
	var secret Secret
	_, _ = rand.Read(secret[:]) // never fails: a lack of entropy terminates the program
	return writeNew(file, []byte(hex.EncodeToString(secret[:])+"\n"), privateMode)
}

// MakeSigner writes a new private key of a bundle signer, and returns the public
// key in the base64 form that bundles use. It fails if the file exists.
func MakeSigner(keyFile string) (string, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", &FileError{File: keyFile, Reason: "cannot generate an Ed25519 key", Err: err}
	}
	if err := writeKey(keyFile, private); err != nil {
		return "", err
	}
	return base64.StdEncoding.EncodeToString(public), nil
}

// ReadSigner reads a signer's private key from a PEM file. Errors are of type
// *FileError.
func ReadSigner(keyFile string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, &FileError{File: keyFile, Reason: "cannot read file", Err: err}
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, &FileError{File: keyFile, Reason: "contains no PEM block"}
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, &FileError{File: keyFile, Reason: "cannot parse PKCS #8 private key", Err: err}
	}
	private, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, &FileError{File: keyFile, Reason: "private key is not an Ed25519 key"}
	}
	return private, nil
}

// MakeToken writes a new operator token, and returns its hash in the form that
// the daemons' operators file uses. It fails if the file exists.
func MakeToken(file string) (string, error) {
	var token [mtsetting.SecretSize]byte
	_, _ = rand.Read(token[:])
	text := base64.RawURLEncoding.EncodeToString(token[:])
	if err := writeNew(file, []byte(text+"\n"), privateMode); err != nil {
		return "", err
	}
	return HashToken(text), nil
}

// HashToken returns the SHA-256 of a token in hex. It needs neither salt nor a
// slow hash: a token has 256 random bits, too many to guess.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// ReadToken reads an operator's token and trims surrounding space. Errors are of
// type *FileError.
func ReadToken(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", &FileError{File: file, Reason: "cannot read file", Err: err}
	}
	return strings.TrimSpace(string(text)), nil
}

func newSerial() *big.Int {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	n, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return big.NewInt(1) // unreachable: rand.Reader returns no errors
	}
	return n
}

func writePair(certificateFile, keyFile string, der []byte, private ed25519.PrivateKey) error {
	if err := writeKey(keyFile, private); err != nil {
		return err
	}
	block := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	return writeNew(certificateFile, block, publicMode)
}

func writeKey(file string, private ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return &FileError{File: file, Reason: "cannot encode private key as PKCS #8", Err: err}
	}
	return writeNew(file, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), privateMode)
}

// writeNew creates a file and its directory. It fails if the file exists, since
// a private key that is overwritten by mistake cannot be recovered.
func writeNew(file string, content []byte, mode os.FileMode) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
		return &FileError{File: file, Reason: "cannot create parent directory", Err: err}
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return &FileError{File: file, Reason: "cannot create file (existing files are never replaced)", Err: err}
	}
	_, err = f.Write(content)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return &FileError{File: file, Reason: "cannot write file", Err: err}
	}
	return nil
}
