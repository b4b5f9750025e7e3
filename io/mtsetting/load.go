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

// Faults lists every invalid or missing field of a settings file.
type Faults = mtini.Faults

// Bounds and defaults of settings.
const (
	minBody     = 1 << 10
	maxBody     = 64 << 20
	defaultBody = 1 << 20
	maxFile     = 1 << 20
	// SecretSize is the length in bytes of the secret that daemons share to
	// authenticate datagrams.
	SecretSize = 32
)

// Load reads and validates a settings file and the files that it refers to. It
// is called once at start and by the "check" command.
func Load(file string) (*Settings, Faults) { return load(file, Parse) }

// load reads a file and passes its text to parse.
func load[T any](file string, parse func(file string, text []byte) (*T, Faults)) (*T, Faults) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, Faults{{File: file, Field: "file", Value: file, Accept: "a file that can be read: " + innermostReason(err)}}
	}
	return parse(file, text)
}

// Parse parses the text of a settings file and validates the files that it
// refers to. Relative file names are resolved against the directory of file.
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

// loader holds the state that the steps of one Parse call share.
type loader struct {
	file *mtini.File
	dir  string
}

func (l *loader) daemon(s *Settings) {
	daemon := l.file.RequiredSection("daemon")
	s.Name = mtid.Daemon(daemon.Name("name"))
	s.Zone = mtid.Zone(daemon.Name("zone"))
	s.Region = mtid.Region(daemon.Name("region"))
	s.MaxBodyBytes = int64(daemon.Int("body", defaultBody, minBody, maxBody))
	// Choice accepts only valid level names, so unmarshaling can't fail.
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
	l.checkDistinctAddresses(listen, s)
	for name, address := range map[string]string{"caller": s.Caller, "relay": s.Relay, "renew": s.Renew, "admin": s.Admin} {
		// Other hosts connect to exactly this address.
		if parsed, err := netip.ParseAddrPort(address); err == nil && parsed.Addr().IsUnspecified() {
			listen.AddFault(name, address, "the IP of this VM that others connect to, not the unspecified one")
		}
	}
}

// checkDistinctAddresses rejects two listeners on the same TCP address. The renew
// listener uses UDP and may use the same address.
func (l *loader) checkDistinctAddresses(listen *mtini.Section, s *Settings) {
	listenerByAddress := make(map[string]string)
	for _, listener := range []struct{ name, address string }{
		{"caller", s.Caller}, {"relay", s.Relay}, {"local", s.Local}, {"admin", s.Admin},
	} {
		if other, ok := listenerByAddress[listener.address]; ok && listener.address != "" {
			listen.AddFault(listener.name, listener.address, "an address of its own; "+other+" has this one")
		}
		listenerByAddress[listener.address] = listener.name
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
		l.checkLoopback(s)
		return
	}
	s.Keys = Keys{
		Certificate: l.filePath(keys, "certificate"),
		Key:         l.filePath(keys, "key"),
		Authority:   l.filePath(keys, "authority"),
		Secret:      l.filePath(keys, "secret"),
	}
	certificate := l.readFile(keys, "certificate", s.Keys.Certificate)
	key := l.readFile(keys, "key", s.Keys.Key)
	if certificate != nil && key != nil {
		if _, err := tls.X509KeyPair(certificate, key); err != nil {
			keys.AddFault("certificate", s.Keys.Certificate, "a PEM certificate that fits the key: "+innermostReason(err))
		}
	}
	if pem := l.readFile(keys, "authority", s.Keys.Authority); pem != nil && !x509.NewCertPool().AppendCertsFromPEM(pem) {
		keys.AddFault("authority", s.Keys.Authority, "PEM certificates of the authority")
	}
	if text := l.readFile(keys, "secret", s.Keys.Secret); text != nil {
		for _, line := range strings.Fields(string(text)) {
			if secret, err := hex.DecodeString(line); err != nil || len(secret) != SecretSize {
				keys.AddFault("secret", s.Keys.Secret, fmt.Sprintf("lines of %d bytes in hex, the newest first", SecretSize))
				break
			}
		}
	}
}

// checkLoopback rejects addresses other than loopback ones, since transport is
// unencrypted without keys.
func (l *loader) checkLoopback(s *Settings) {
	listen := l.file.RequiredSection("listen")
	for name, address := range map[string]string{"caller": s.Caller, "relay": s.Relay, "renew": s.Renew, "admin": s.Admin} {
		parsed, err := netip.ParseAddrPort(address)
		if err == nil && !parsed.Addr().IsLoopback() {
			listen.AddFault(name, address, "a loopback address as long as there is no [keys] section")
		}
	}
}

func (l *loader) operators(s *Settings) {
	if section, ok := l.file.OptionalSection("operators"); ok {
		s.Operators = l.filePath(section, "file")
		l.readFile(section, "file", s.Operators)
		return
	}
	listen := l.file.RequiredSection("listen")
	if parsed, err := netip.ParseAddrPort(s.Admin); err == nil && !parsed.Addr().IsLoopback() {
		listen.AddFault("admin", s.Admin, "a loopback address as long as there is no [operators] section")
	}
}

func (l *loader) roots(s *Settings) {
	s.Roots = make(map[mtid.Business]mtbundle.Authority)
	for _, root := range l.file.SectionsOfKind("root", 1) {
		authority := mtbundle.Authority{Needed: root.Int("signatures", 1, 1, mtbundle.MaxSigners)}
		file := l.filePath(root, "signers")
		text := l.readFile(root, "signers", file)
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

// filePath returns the file name in a required field, resolved against the
// directory of the settings file.
func (l *loader) filePath(s *mtini.Section, name string) string {
	v := s.Required(name, "the name of a file")
	if v == "" || filepath.IsAbs(v) {
		return v
	}
	return filepath.Join(l.dir, v)
}

// readFile returns the content of the file that a field refers to. It returns nil
// if the field is empty, or adds a fault if the file is unusable.
func (l *loader) readFile(s *mtini.Section, name, file string) []byte {
	if file == "" {
		return nil
	}
	// Reading a pipe or device could block the start or never reach the end.
	if info, err := os.Stat(file); err == nil && (!info.Mode().IsRegular() || info.Size() > maxFile) {
		s.AddFault(name, file, fmt.Sprintf("a regular file of up to %d bytes", maxFile))
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		s.AddFault(name, file, "a file that can be read: "+innermostReason(err))
		return nil
	}
	if len(text) == 0 {
		s.AddFault(name, file, "a file that is not empty")
		return nil
	}
	return text
}

// innermostReason returns the text of err after its last colon, which never
// contains file content.
func innermostReason(err error) string {
	text := err.Error()
	if i := strings.LastIndex(text, ": "); i >= 0 {
		return text[i+2:]
	}
	return text
}
