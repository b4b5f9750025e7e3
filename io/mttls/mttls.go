// Package mttls holds the credentials of a daemon: mutual TLS between daemons,
// TLS for operators, and the shared secret of datagrams, each read from files
// and read again while the daemon runs. It also makes them, for "keygen".
//
// A certificate, authority or secret is replaced by writing the new file; the
// daemon takes it up within Interval, for new connections. A file that can't be
// read or doesn't fit is reported and the old one stays, so that a mistake in a
// rotation stops nothing.
//
// # Usage
//
//	held, cleanUp, err := mttls.Open(settings.Keys, report)
//	defer cleanUp()
//	server := grpc.NewServer(grpc.Creds(credentials.NewTLS(held.Server())))
//	connection, err := grpc.NewClient(address, grpc.WithTransportCredentials(held.Client()))
//	secrets := held.Secrets() // newest first; sign with the first, accept all
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

// Interval is how often the files are looked at.
const Interval = 10 * time.Second

// FileError says that a credential file can't be used.
type FileError struct {
	File   string
	Reason string
	Err    error
}

// Error implements error. It never holds the file's content.
func (e *FileError) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("tls: %s: %s", e.File, e.Reason)
	}
	return fmt.Sprintf("tls: %s: %s: %v", e.File, e.Reason, e.Err)
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Err }

// Secret is a shared secret for datagrams.
type Secret [mtsetting.SecretSize]byte

// material is one consistent reading of all files.
type material struct {
	certificate tls.Certificate
	authority   *x509.CertPool
	secrets     []Secret
}

// Credentials are the present ones of a daemon.
type Credentials struct {
	keys mtsetting.Keys
	now  atomic.Pointer[material]
}

// Open reads the files, and begins to look for new ones. report is called with
// each reading's outcome that is a failure, from another goroutine. It fails
// with a *FileError.
func Open(keys mtsetting.Keys, report func(error)) (*Credentials, func(), error) {
	c := &Credentials{keys: keys}
	if err := c.Reload(); err != nil {
		return nil, nil, err
	}
	stop := mtduty.Every(Interval, func(context.Context) {
		if err := c.Reload(); err != nil {
			report(err)
		}
	})
	return c, stop, nil
}

// Reload reads the files now. On a *FileError the former ones stay in use: a
// certificate and its key are written one after the other, and a reading
// between the two finds a pair that doesn't fit.
func (c *Credentials) Reload() error {
	m, err := read(c.keys)
	if err != nil {
		return err
	}
	c.now.Store(m)
	return nil
}

func read(keys mtsetting.Keys) (*material, error) {
	certificate, err := tls.LoadX509KeyPair(keys.Certificate, keys.Key)
	if err != nil {
		return nil, &FileError{File: keys.Certificate, Reason: "no certificate that fits the key", Err: err}
	}
	pem, err := os.ReadFile(keys.Authority)
	if err != nil {
		return nil, &FileError{File: keys.Authority, Reason: "can't be read", Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &FileError{File: keys.Authority, Reason: "holds no PEM certificate"}
	}
	secrets, err := readSecrets(keys.Secret)
	if err != nil {
		return nil, err
	}
	return &material{certificate: certificate, authority: pool, secrets: secrets}, nil
}

func readSecrets(file string) ([]Secret, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Reason: "can't be read", Err: err}
	}
	var secrets []Secret
	for _, line := range strings.Fields(string(text)) {
		value, err := hex.DecodeString(line)
		if err != nil || len(value) != mtsetting.SecretSize {
			return nil, &FileError{File: file, Reason: fmt.Sprintf("a line is not %d bytes in hex", mtsetting.SecretSize)}
		}
		secrets = append(secrets, Secret(value))
	}
	if len(secrets) == 0 {
		return nil, &FileError{File: file, Reason: "holds no secret"}
	}
	return secrets, nil
}

// Secrets returns the shared secrets, the newest first. A daemon authenticates
// what it sends with the first and accepts any, so that a rotation needs no
// moment at which all daemons change at once.
func (c *Credentials) Secrets() []Secret { return c.now.Load().secrets }

// Expires returns when the present certificate ends. After it no other daemon
// takes a new connection from this one, so somebody must be told in time.
func (c *Credentials) Expires() time.Time {
	leaf := c.now.Load().certificate.Leaf
	if leaf == nil {
		return time.Time{}
	}
	return leaf.NotAfter
}

// SecretBytes returns what Secrets does, for packages that take bytes.
func (c *Credentials) SecretBytes() [][]byte {
	secrets := c.now.Load().secrets
	out := make([][]byte, len(secrets))
	for i := range secrets {
		out[i] = secrets[i][:]
	}
	return out
}

// Server returns the configuration of the listener for other daemons: both
// ends show a certificate of the authority.
func (c *Credentials) Server() *tls.Config {
	base := &tls.Config{MinVersion: tls.VersionTLS13, NextProtos: []string{"h2"}}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		m := c.now.Load()
		return &tls.Config{
			MinVersion:   tls.VersionTLS13,
			NextProtos:   []string{"h2"},
			Certificates: []tls.Certificate{m.certificate},
			ClientAuth:   tls.RequireAndVerifyClientCert,
			ClientCAs:    m.authority,
			// Resumption would let a client in that a replaced authority no
			// longer vouches for.
			SessionTicketsDisabled: true,
		}, nil
	}
	return base
}

// Client returns the credentials of gRPC connections to other daemons. Daemons
// are reached by IP, which their certificates must name.
func (c *Credentials) Client() credentials.TransportCredentials { return &client{from: c} }

// client makes the TLS configuration for each handshake anew: a tls.Config
// takes its authorities once, and would hold on to a replaced one until the
// daemon's end.
type client struct{ from *Credentials }

// ClientHandshake implements credentials.TransportCredentials.
func (c *client) ClientHandshake(ctx context.Context, authority string, conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	m := c.from.now.Load()
	return credentials.NewTLS(&tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{m.certificate},
		RootCAs:      m.authority,
	}).ClientHandshake(ctx, authority, conn)
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *client) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	return credentials.NewTLS(c.from.Server()).ServerHandshake(conn)
}

// Info implements credentials.TransportCredentials.
func (c *client) Info() credentials.ProtocolInfo {
	return credentials.ProtocolInfo{SecurityProtocol: "tls"}
}

// Clone implements credentials.TransportCredentials.
func (c *client) Clone() credentials.TransportCredentials { return &client{from: c.from} }

// OverrideServerName implements credentials.TransportCredentials. The name is
// always the address that is dialled.
func (c *client) OverrideServerName(string) error { return nil }

// Admin returns the configuration of the listener for operators: the daemon
// shows its certificate, operators prove themselves by token.
func (c *Credentials) Admin() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &c.now.Load().certificate, nil
		},
	}
}
