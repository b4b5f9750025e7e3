package mttls_test

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	"google.golang.org/grpc/credentials"
	"gotest.tools/v3/assert"

	"magnoliaturn/io/mtsetting"
	"magnoliaturn/io/mttls"
)

// authority creates a certificate authority in a new temporary directory.
func authority(t *testing.T) (file string, pair tls.Certificate) {
	t.Helper()
	dir := t.TempDir()
	file = filepath.Join(dir, "authority.crt")
	assert.NilError(t, mttls.MakeAuthority(time.Now(), file, dir+"/authority.key"))
	pair, err := tls.LoadX509KeyPair(file, dir+"/authority.key")
	assert.NilError(t, err)
	return file, pair
}

// keys creates the credential files of a daemon at address, with a certificate
// issued by the authority in pair.
func keys(t *testing.T, file string, pair tls.Certificate, address string) mtsetting.Keys {
	t.Helper()
	dir := t.TempDir()
	k := mtsetting.Keys{
		Certificate: dir + "/daemon.crt", Key: dir + "/daemon.key", Authority: file, Secret: dir + "/secret",
	}
	at := []netip.Addr{netip.MustParseAddr(address)}
	assert.NilError(t, mttls.MakeCertificate(time.Now(), pair, "d", at, k.Certificate, k.Key))
	assert.NilError(t, mttls.MakeSecret(k.Secret))
	return k
}

func open(t *testing.T, k mtsetting.Keys) *mttls.Credentials {
	t.Helper()
	c, cleanUp, err := mttls.Open(k, func(error) {})
	assert.NilError(t, err)
	t.Cleanup(cleanUp)
	return c
}

// handshake connects client to server as gRPC does, with the server name dialed,
// and returns the errors of both sides.
func handshake(t *testing.T, client, server *mttls.Credentials, dialed string) (clientErr, serverErr error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	served := make(chan error, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			served <- err
			return
		}
		defer conn.Close()
		_, _, err = credentials.NewTLS(server.Server()).ServerHandshake(conn)
		served <- err
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	_, _, clientErr = client.Client().ClientHandshake(context.Background(), dialed, conn)
	if clientErr != nil {
		_ = conn.Close()
	}
	serverErr = <-served
	_ = conn.Close()
	return clientErr, serverErr
}

// A VM without a certificate of the fleet's authority, or a daemon at another
// address than it was dialed at, must fail the handshake: it would otherwise
// receive requests meant for an owner and send false replies.
func TestHandshakeVerifiesAuthorityAndAddress(t *testing.T) {
	file, pair := authority(t)
	otherFile, otherPair := authority(t)
	fleet := open(t, keys(t, file, pair, "127.0.0.1"))
	otherAddress := open(t, keys(t, file, pair, "127.0.0.9"))
	foreign := open(t, keys(t, otherFile, otherPair, "127.0.0.1"))
	tests := []struct {
		name           string
		client, server *mttls.Credentials
		wantError      bool
	}{
		{"same authority", fleet, fleet, false},
		{"server at another address", fleet, otherAddress, true},
		{"server of another authority", fleet, foreign, true},
		{"client of another authority", foreign, fleet, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clientErr, serverErr := handshake(t, test.client, test.server, "127.0.0.1:1")
			assert.Equal(t, clientErr != nil || serverErr != nil, test.wantError, "%v, %v", clientErr, serverErr)
		})
	}
}

// Rotation of the authority in a running fleet: both authorities are trusted for
// a while. After a reload without the old one, its certificates must be refused on
// new connections, without a restart.
func TestReloadReplacesAuthority(t *testing.T) {
	file, pair := authority(t)
	newFile, newPair := authority(t)
	serverKeys := keys(t, file, pair, "127.0.0.1")
	server := open(t, serverKeys)
	old := open(t, keys(t, file, pair, "127.0.0.1"))
	newAuthority, err := os.ReadFile(newFile)
	assert.NilError(t, err)
	oldAuthority, err := os.ReadFile(file)
	assert.NilError(t, err)
	bothFile := filepath.Join(t.TempDir(), "both.crt")
	assert.NilError(t, os.WriteFile(bothFile, append(newAuthority, oldAuthority...), 0o600))
	freshKeys := keys(t, bothFile, newPair, "127.0.0.1")
	fresh := open(t, freshKeys)

	_, err = handshake(t, fresh, server, "127.0.0.1:1")
	assert.Assert(t, err != nil)
	assert.NilError(t, os.WriteFile(serverKeys.Authority, append(newAuthority, oldAuthority...), 0o600))
	assert.NilError(t, server.Reload())
	_, err = handshake(t, fresh, server, "127.0.0.1:1")
	assert.NilError(t, err)
	_, err = handshake(t, old, server, "127.0.0.1:1")
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(serverKeys.Authority, newAuthority, 0o600))
	assert.NilError(t, server.Reload())
	_, err = handshake(t, old, server, "127.0.0.1:1")
	assert.Assert(t, err != nil)
}

// A rotation writes the certificate and then the key. A daemon that reloads
// between the two writes finds a pair that doesn't match, and must keep the
// previous pair.
func TestReloadKeepsPreviousPairOnMismatch(t *testing.T) {
	file, pair := authority(t)
	k := keys(t, file, pair, "127.0.0.1")
	c := open(t, k)
	other := keys(t, file, pair, "127.0.0.1")
	newer, err := os.ReadFile(other.Certificate)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(k.Certificate, newer, 0o600))
	var fileErr *mttls.FileError
	assert.ErrorType(t, c.Reload(), fileErr)
	clientErr, serverErr := handshake(t, c, c, "127.0.0.1:1")
	assert.NilError(t, clientErr)
	assert.NilError(t, serverErr)
}

func TestExpires(t *testing.T) {
	file, pair := authority(t)
	c := open(t, keys(t, file, pair, "127.0.0.1"))
	left := time.Until(c.Expires())
	assert.Assert(t, left > mttls.CertificateLifetime-time.Hour && left <= mttls.CertificateLifetime, left)
}

func TestSecretRotation(t *testing.T) {
	file, pair := authority(t)
	k := keys(t, file, pair, "127.0.0.1")
	c := open(t, k)
	first := c.Secrets()
	assert.Equal(t, len(first), 1)
	next := filepath.Join(t.TempDir(), "next")
	assert.NilError(t, mttls.MakeSecret(next))
	newer, err := os.ReadFile(next)
	assert.NilError(t, err)
	older, err := os.ReadFile(k.Secret)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(k.Secret, append(newer, older...), 0o600))
	assert.NilError(t, c.Reload())
	assert.Equal(t, len(c.Secrets()), 2)
	assert.Equal(t, c.Secrets()[1], first[0])
	assert.NilError(t, os.WriteFile(k.Secret, []byte("short\n"), 0o600))
	assert.Assert(t, c.Reload() != nil)
	assert.Equal(t, len(c.Secrets()), 2)
}

func TestMakeSignerRefusesExistingFile(t *testing.T) {
	file := filepath.Join(t.TempDir(), "ilze.key")
	_, err := mttls.MakeSigner(file)
	assert.NilError(t, err)
	before, err := os.ReadFile(file)
	assert.NilError(t, err)
	_, err = mttls.MakeSigner(file)
	assert.Assert(t, err != nil)
	after, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.DeepEqual(t, before, after)
	info, err := os.Stat(file)
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
	_, err = mttls.ReadSigner(file)
	assert.NilError(t, err)
}
