package mtsetting

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtini"
)

// Faults are all mistakes of a settings file.
type Faults = mtini.Faults

// Bounds and defaults of settings.
const (
	minBody     = 1 << 10
	maxBody     = 64 << 20
	defaultBody = 1 << 20
	maxFile     = 1 << 20
	// SecretSize is the length of the shared secret for datagrams, in bytes.
	SecretSize = 32
)

// Load reads and checks a settings file and the files that it names. It is
// called once at start, and by "check".
func Load(file string) (*Settings, Faults) { return load(file, Parse) }

// load reads a settings file and parses its text.
func load[T any](file string, parse func(file string, text []byte) (*T, Faults)) (*T, Faults) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, Faults{{File: file, Field: "file", Value: file, Accept: "a file that can be read: " + reason(err)}}
	}
	return parse(file, text)
}

// Parse checks the text of a settings file and the files that it names.
func Parse(file string, text []byte) (*Settings, Faults) {
	f := mtini.Read(file, text)
	f.CheckKinds(map[string]int{"daemon": 0, "listen": 0, "store": 0, "peers": 0, "keys": 0, "operators": 0, "root": 1})
	l := loader{file: f, dir: filepath.Dir(file)}
	s := &Settings{}
	l.daemon(s)
	l.listen(s)
	l.store(s)
	l.keys(s)
	l.operators(s)
	l.roots(s)
	if faults := f.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

// loader carries what the steps of one Parse share.
type loader struct {
	file *mtini.File
	dir  string
}

func (l *loader) daemon(s *Settings) {
	daemon := l.file.RequiredSection("daemon")
	s.Name = mtid.Daemon(daemon.Name("name"))
	s.Zone = mtid.Zone(daemon.Name("zone"))
	s.Region = mtid.Region(daemon.Name("region"))
	s.Body = int64(daemon.Int("body", defaultBody, minBody, maxBody))
	// Choice has refused every other word, so the level always reads.
	_ = s.Log.UnmarshalText([]byte(daemon.Choice("log", "info", "debug", "warn", "error")))
	if peers, ok := l.file.OptionalSection("peers"); ok {
		s.Seeds = peers.Addresses("seeds")
	}
}

func (l *loader) listen(s *Settings) {
	listen := l.file.RequiredSection("listen")
	s.Caller = listen.Address("caller")
	s.Relay = listen.Address("relay")
	s.Renew = listen.Address("renew")
	s.Local = listen.Address("local")
	s.Admin = listen.Address("admin")
	l.distinct(listen, s)
	for name, address := range map[string]string{"caller": s.Caller, "relay": s.Relay, "renew": s.Renew, "admin": s.Admin} {
		// Others reach these addresses by the number written here.
		if at, err := netip.ParseAddrPort(address); err == nil && at.Addr().IsUnspecified() {
			listen.AddFault(name, address, "the IP of this VM that others connect to, not the unspecified one")
		}
	}
}

// distinct refuses one TCP address for two listeners; renew is UDP.
func (l *loader) distinct(listen *mtini.Section, s *Settings) {
	taken := make(map[string]string)
	for _, at := range []struct{ name, address string }{
		{"caller", s.Caller}, {"relay", s.Relay}, {"local", s.Local}, {"admin", s.Admin},
	} {
		if other, ok := taken[at.address]; ok && at.address != "" {
			listen.AddFault(at.name, at.address, "an address of its own; "+other+" has this one")
		}
		taken[at.address] = at.name
	}
}

func (l *loader) store(s *Settings) {
	const accept = "http://host:port or https://host:port, with a path if the store has one"
	store := l.file.RequiredSection("store")
	s.Store = store.Required("url", accept)
	if s.Store == "" {
		return
	}
	u, err := url.Parse(s.Store)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") || u.User != nil {
		store.AddFault("url", s.Store, accept)
	}
}

func (l *loader) keys(s *Settings) {
	keys, ok := l.file.OptionalSection("keys")
	if !ok {
		l.plain(s)
		return
	}
	s.Keys = Keys{
		Certificate: l.named(keys, "certificate"),
		Key:         l.named(keys, "key"),
		Authority:   l.named(keys, "authority"),
		Secret:      l.named(keys, "secret"),
	}
	certificate := l.content(keys, "certificate", s.Keys.Certificate)
	key := l.content(keys, "key", s.Keys.Key)
	if certificate != nil && key != nil {
		if _, err := tls.X509KeyPair(certificate, key); err != nil {
			keys.AddFault("certificate", s.Keys.Certificate, "a PEM certificate that fits the key: "+reason(err))
		}
	}
	if pem := l.content(keys, "authority", s.Keys.Authority); pem != nil && !x509.NewCertPool().AppendCertsFromPEM(pem) {
		keys.AddFault("authority", s.Keys.Authority, "PEM certificates of the authority")
	}
	if text := l.content(keys, "secret", s.Keys.Secret); text != nil {
		for _, line := range strings.Fields(string(text)) {
			if secret, err := hex.DecodeString(line); err != nil || len(secret) != SecretSize {
				keys.AddFault("secret", s.Keys.Secret, fmt.Sprintf("lines of %d bytes in hex, the newest first", SecretSize))
				break
			}
		}
	}
}

// plain accepts transport without keys between processes of one machine only.
func (l *loader) plain(s *Settings) {
	listen := l.file.RequiredSection("listen")
	for name, address := range map[string]string{"caller": s.Caller, "relay": s.Relay, "renew": s.Renew, "admin": s.Admin} {
		at, err := netip.ParseAddrPort(address)
		if err == nil && !at.Addr().IsLoopback() {
			listen.AddFault(name, address, "a loopback address as long as there is no [keys] section")
		}
	}
}

func (l *loader) operators(s *Settings) {
	if section, ok := l.file.OptionalSection("operators"); ok {
		s.Operators = l.named(section, "file")
		l.content(section, "file", s.Operators)
		return
	}
	listen := l.file.RequiredSection("listen")
	if at, err := netip.ParseAddrPort(s.Admin); err == nil && !at.Addr().IsLoopback() {
		listen.AddFault("admin", s.Admin, "a loopback address as long as there is no [operators] section")
	}
}

func (l *loader) roots(s *Settings) {
	s.Roots = make(map[mtid.Business]mtbundle.Authority)
	for _, root := range l.file.SectionsOfKind("root", 1) {
		authority := mtbundle.Authority{Needed: root.Int("signatures", 1, 1, mtbundle.MaxSigners)}
		file := l.named(root, "signers")
		text := l.content(root, "signers", file)
		if text == nil {
			continue
		}
		signers, faults := mtbundle.ParseSigners(file, text)
		for _, fault := range faults {
			root.AddFault("signers", fault.Value, fmt.Sprintf("%s:%d: %s: %s", fault.File, fault.Line, fault.Field, fault.Accept))
		}
		authority.Signers = signers
		if len(faults) == 0 && authority.Needed > len(signers) {
			root.AddFault("signatures", fmt.Sprint(authority.Needed), fmt.Sprintf("up to the %d signers of %s", len(signers), file))
		}
		s.Roots[mtid.Business(root.Word(1))] = authority
	}
}

// named returns the file that a required field names.
func (l *loader) named(s *mtini.Section, name string) string {
	v := s.Required(name, "the name of a file")
	if v == "" || filepath.IsAbs(v) {
		return v
	}
	return filepath.Join(l.dir, v)
}

// content returns what a named file holds, or nil with a fault.
func (l *loader) content(s *mtini.Section, name, file string) []byte {
	if file == "" {
		return nil
	}
	// A pipe or device would keep the start waiting, or never end.
	if info, err := os.Stat(file); err == nil && (!info.Mode().IsRegular() || info.Size() > maxFile) {
		s.AddFault(name, file, fmt.Sprintf("a regular file of up to %d bytes", maxFile))
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		s.AddFault(name, file, "a file that can be read: "+reason(err))
		return nil
	}
	if len(text) == 0 {
		s.AddFault(name, file, "a file that is not empty")
		return nil
	}
	return text
}

// reason returns the innermost text of err, which never holds a file's
// content.
func reason(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		return text[i+2:]
	}
	return text
}
