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

// Lifetimes of what keygen makes. Certificates are short-lived, since they are
// replaced while the daemon runs.
const (
	AuthorityLife   = 5 * 365 * 24 * time.Hour
	CertificateLife = 90 * 24 * time.Hour
)

// backdate lets a certificate work on a VM whose clock is behind.
const backdate = 10 * time.Minute

// Files are made readable for their owner alone; public ones for all.
const (
	privateMode = 0o600
	publicMode  = 0o644
)

const serialBits = 120

// MakeAuthority writes a new authority: its certificate, which every daemon
// and operator holds, and its key, which belongs on no VM. It refuses to
// replace a file.
func MakeAuthority(now time.Time, certificateFile, keyFile string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return &FileError{File: keyFile, Reason: "no randomness", Err: err}
	}
	template := &x509.Certificate{
		SerialNumber:          serial(),
		Subject:               pkix.Name{CommonName: "magnoliaturn authority"},
		NotBefore:             now.Add(-backdate),
		NotAfter:              now.Add(AuthorityLife),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		return &FileError{File: certificateFile, Reason: "can't be made", Err: err}
	}
	return writePair(certificateFile, keyFile, der, private)
}

// MakeCertificate writes a certificate of the authority for the daemon with
// that name and those addresses, and its key. It refuses to replace a file.
func MakeCertificate(now time.Time, authority tls.Certificate, name string, addresses []netip.Addr, certificateFile, keyFile string) error {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return &FileError{File: keyFile, Reason: "no randomness", Err: err}
	}
	template := &x509.Certificate{
		SerialNumber: serial(),
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-backdate),
		NotAfter:     now.Add(CertificateLife),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	for _, address := range addresses {
		template.IPAddresses = append(template.IPAddresses, address.AsSlice())
	}
	parent, err := x509.ParseCertificate(authority.Certificate[0])
	if err != nil {
		return &FileError{File: certificateFile, Reason: "the authority can't be read", Err: err}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, public, authority.PrivateKey)
	if err != nil {
		return &FileError{File: certificateFile, Reason: "can't be made", Err: err}
	}
	return writePair(certificateFile, keyFile, der, private)
}

// MakeSecret writes a new shared secret for datagrams to a file of its own.
// Daemons must know a secret before one sends with it, so a rotation adds it
// to the daemons' files as the last line first, see docs/SECURITY.md. It
// refuses to replace a file.
func MakeSecret(file string) error {
	var secret Secret
	_, _ = rand.Read(secret[:]) // never fails: the program ends instead
	return writeNew(file, []byte(hex.EncodeToString(secret[:])+"\n"), privateMode)
}

// MakeSigner writes the private key of a signer, and returns the public one as
// bundles hold it. It refuses to replace a file.
func MakeSigner(keyFile string) (string, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", &FileError{File: keyFile, Reason: "no randomness", Err: err}
	}
	if err := writeKey(keyFile, private); err != nil {
		return "", err
	}
	return base64.StdEncoding.EncodeToString(public), nil
}

// ReadSigner reads the private key of a signer. It fails with a *FileError.
func ReadSigner(keyFile string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, &FileError{File: keyFile, Reason: "can't be read", Err: err}
	}
	block, _ := pem.Decode(text)
	if block == nil {
		return nil, &FileError{File: keyFile, Reason: "holds no PEM key"}
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, &FileError{File: keyFile, Reason: "holds no PKCS 8 key", Err: err}
	}
	private, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, &FileError{File: keyFile, Reason: "holds no Ed25519 key"}
	}
	return private, nil
}

// MakeToken writes a new token of an operator, and returns its hash as the
// daemons' operators file holds it. It refuses to replace a file.
func MakeToken(file string) (string, error) {
	var token [mtsetting.SecretSize]byte
	_, _ = rand.Read(token[:])
	text := base64.RawURLEncoding.EncodeToString(token[:])
	if err := writeNew(file, []byte(text+"\n"), privateMode); err != nil {
		return "", err
	}
	return HashToken(text), nil
}

// HashToken returns the hash of a token. A token has 256 random bits, so a
// plain hash can't be reversed by guessing.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// ReadToken reads an operator's token. It fails with a *FileError.
func ReadToken(file string) (string, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return "", &FileError{File: file, Reason: "can't be read", Err: err}
	}
	return strings.TrimSpace(string(text)), nil
}

func serial() *big.Int {
	limit := new(big.Int).Lsh(big.NewInt(1), serialBits)
	n, err := rand.Int(rand.Reader, limit)
	if err != nil {
		return big.NewInt(1) // can't happen: the reader never fails
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
		return &FileError{File: file, Reason: "key can't be encoded", Err: err}
	}
	return writeNew(file, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), privateMode)
}

// writeNew creates a file and never replaces one: a key that is overwritten by
// mistake is lost for good.
func writeNew(file string, content []byte, mode os.FileMode) error {
	if err := os.MkdirAll(filepath.Dir(file), 0o700); err != nil {
		return &FileError{File: file, Reason: "directory can't be made", Err: err}
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return &FileError{File: file, Reason: "can't be created; an existing file is never replaced", Err: err}
	}
	_, err = f.Write(content)
	if closed := f.Close(); err == nil {
		err = closed
	}
	if err != nil {
		return &FileError{File: file, Reason: "can't be written", Err: err}
	}
	return nil
}
