// Package mttls loads the credentials of a daemon: mutual TLS between daemons,
// TLS for operators, and the shared secret of datagrams. They are read from files
// and reloaded while the daemon runs. The package also creates such files, for
// the "keygen" command.
//
// To replace a certificate, authority or secret, write the new file; the daemon
// uses it for new connections within ReloadInterval. If a file cannot be read, or
// a certificate doesn't match its key, the error is reported and the previous
// credentials stay in use, so that a mistake in a rotation causes no outage.
//
// # Usage
//
//	creds, cleanUp, err := mttls.Open(settings.Keys, report)
//	defer cleanUp()
//	server := grpc.NewServer(grpc.Creds(credentials.NewTLS(creds.Server())))
//	connection, err := grpc.NewClient(address, grpc.WithTransportCredentials(creds.Client()))
//	secrets := creds.Secrets() // newest first; sign with the first, accept all
//
// All methods of Credentials are safe for concurrent use.
package mttls

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/credentials"

	"magnoliaturn/io/mtduty"
	"magnoliaturn/io/mtsetting"
)

// ReloadInterval is how often the credential files are reloaded.
const ReloadInterval = 10 * time.Second

// FileError reports a credential file that cannot be read, parsed or written.
type FileError struct {
	File   string
	Reason string
	Err    error
}

// Error implements error. The text never includes the file's content, which may
// be secret.
func (e *FileError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("tls: %s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("tls: %s: %s: %v", e.File, e.Reason, e.Err)
}

// Unwrap returns the underlying error, or nil.
func (e *FileError) Unwrap() error { return e.Err }

// Secret is a shared secret that authenticates datagrams between daemons.
type Secret [mtsetting.SecretSize]byte

// snapshot holds the contents of all files as loaded together.
type snapshot struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	secrets     []Secret
}

// Credentials holds a daemon's credentials as last loaded.
type Credentials struct {
	keys    mtsetting.Keys
	current atomic.Pointer[snapshot]
}

// Open loads the files and starts to reload them every ReloadInterval. report is
// called from another goroutine with the error of each failed reload. Errors are
// of type *FileError.
func Open(keys mtsetting.Keys, report func(error)) (*Credentials, func(), error) {
	c := &Credentials{keys: keys}
	if err := c.Reload(); err != nil {
		return nil, nil, err
	}
	stop := mtduty.Every(ReloadInterval, func(context.Context) {
		if err := c.Reload(); err != nil {
			report(err)
		}
	})
	return c, stop, nil
}

// Reload loads the files now. On a *FileError the previous credentials stay in
// use: a certificate and its key are written one after the other, and a reload
// between the two writes finds a pair that doesn't match.
func (c *Credentials) Reload() error {
	m, err := readFiles(c.keys)
	if err != nil {
		return err
	}
	c.current.Store(m)
	return nil
}

func readFiles(keys mtsetting.Keys) (*snapshot, error) {
	certificate, err := tls.LoadX509KeyPair(keys.Certificate, keys.Key)
	if err != nil {
		return nil, &FileError{File: keys.Certificate, Reason: "cannot load certificate and key pair", Err: err}
	}
	pem, err := os.ReadFile(keys.Authority)
	if err != nil {
		return nil, &FileError{File: keys.Authority, Reason: "cannot read file", Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &FileError{File: keys.Authority, Reason: "contains no PEM certificate"}
	}
	secrets, err := readSecrets(keys.Secret)
	if err != nil {
		return nil, err
	}
	return &snapshot{certificate: certificate, authority: pool, secrets: secrets}, nil
}

func readSecrets(file string) ([]Secret, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Reason: "cannot read file", Err: err}
	}
	var secrets []Secret
	for _, line := range strings.Fields(string(text)) {
		value, err := hex.DecodeString(line)
		if err != nil || len(value) != mtsetting.SecretSize {
			return nil, &FileError{File: file, Reason: fmt.Sprintf("each secret must be %d bytes in hex", mtsetting.SecretSize)}
		}
		secrets = append(secrets, Secret(value))
	}
	if len(secrets) == 0 {
		return nil, &FileError{File: file, Reason: "contains no secret"}
	}
	return secrets, nil
}

// Secrets returns the shared secrets, newest first. A daemon signs datagrams with
// the first one and accepts any, so that the daemons need not switch secrets at
// the same moment in a rotation.
func (c *Credentials) Secrets() []Secret { return c.current.Load().secrets }

// Expires returns when the current certificate expires. After that other daemons
// refuse new connections from this one, so operators must be warned in time.
func (c *Credentials) Expires() time.Time {
	leaf := c.current.Load().certificate.Leaf
	if leaf == nil {
		return time.Time{}
	}
	return leaf.NotAfter
}

// SecretBytes is like Secrets, for packages that take byte slices.
func (c *Credentials) SecretBytes() [][]byte {
	secrets := c.current.Load().secrets
	out := make([][]byte, len(secrets))
	for i := range secrets {
		out[i] = secrets[i][:]
	}
	return out
}

// Server returns the TLS configuration of the listener for other daemons. Both
// sides must present a certificate issued by the authority.
func (c *Credentials) Server() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m := c.current.Load()
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			NextProtos:   []string{"h2"},
			Certificates: []tls.Certificate{m.certificate},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    m.authority,
			// A resumed session would skip the check of the client's
			// certificate against an authority replaced in the meantime.
			SessionTicketsDisabled: true,
		}, nil
	}
	return base
}

// Client returns the transport credentials of gRPC connections to other daemons.
// Daemons are dialed by IP address, which their certificates must include.
func (c *Credentials) Client() credentials.TransportCredentials { return &reloadingClient{source: c} }

// reloadingClient builds a new TLS configuration for each handshake: a tls.Config
// has a fixed set of authorities, so one shared by all handshakes would trust a
// replaced authority until the daemon stops.
type reloadingClient struct{ source *Credentials }

// ClientHandshake implements credentials.TransportCredentials.
func (c *reloadingClient) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	m := c.source.current.Load()
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
	}).ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *reloadingClient) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.source.Server()).ServerHandshake(conn)
}

// Info implements credentials.TransportCredentials.
func (c *reloadingClient) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone implements credentials.TransportCredentials.
func (c *reloadingClient) Clone() credentials.TransportCredentials {
	return &reloadingClient{source: c.source}
}

// OverrideServerName implements credentials.TransportCredentials. It does
// nothing: the server name is always the dialed address.
func (c *reloadingClient) OverrideServerName(string) error { return nil }

// Admin returns the TLS configuration of the listener for operators. Only the
// daemon presents a certificate; operators authenticate by token.
func (c *Credentials) Admin() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.current.Load().certificate, nil
		},
	}
}
