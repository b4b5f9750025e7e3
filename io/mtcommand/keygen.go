package mtcommand

import (
	"context"
	"crypto/tls"
	"flag"
	"net/netip"
	"path/filepath"
	"strings"
	"time"

	"magnoliaturn/core/mtini"
	"magnoliaturn/io/mttls"
)

func keygenCommand(c *console) *command {
	return &command{
		console: c, name: "keygen", synopsis: "make credentials", usage: "SUBCOMMAND [flags] [arguments]",
		help:    "Makes the credentials of daemons, signers and operators as files. An existing\nfile is never replaced. docs/SECURITY.md says what each of them opens.",
		example: "magnoliaturn keygen authority keys\nmagnoliaturn keygen certificate -ip 10.20.1.11 riga-old-town-1 keys\nmagnoliaturn keygen secret keys\nmagnoliaturn keygen signer janis keys\nmagnoliaturn keygen token ilze keys",
		children: []*command{
			keygenAuthority(c), keygenCertificate(c), keygenSecret(c), keygenSigner(c), keygenToken(c),
		},
	}
}

// keygenResult is the JSON output of the keygen subcommands.
type keygenResult struct {
	Files  []string `json:"files"`
	Public string   `json:"public,omitempty"` // public key for a bundle, or token hash for the operators file
}

func (c *console) showKeygenResult(m keygenResult, note string) {
	rows := [][]string{{strings.Join(m.Files, " ")}}
	if note != "" {
		rows = append(rows, []string{note})
	}
	c.show(m, nil, rows)
}

func keygenAuthority(c *console) *command {
	return &command{
		console: c, name: "authority", synopsis: "make the authority of all daemons", usage: "DIRECTORY",
		help:    "Writes authority.crt, which every daemon and operator holds, and authority.key,\nwhich stays off every VM.",
		example: "magnoliaturn keygen authority keys",
		run: func(_ context.Context, args []string) error {
			if err := checkArgCount(args, 1, 1, "DIRECTORY"); err != nil {
				return err
			}
			certificate, key := filepath.Join(args[0], "authority.crt"), filepath.Join(args[0], "authority.key")
			if err := mttls.MakeAuthority(time.Now(), certificate, key); err != nil {
				return err
			}
			c.showKeygenResult(keygenResult{Files: []string{certificate, key}}, "")
			return nil
		},
	}
}

func keygenCertificate(c *console) *command {
	var ips, authority, authorityKey string
	return &command{
		console: c, name: "certificate", synopsis: "make a daemon's certificate", usage: "-ip IP[,IP...] NAME DIRECTORY",
		help:    "Writes NAME.crt and NAME.key, vouched for by the authority in the directory.",
		example: "magnoliaturn keygen certificate -ip 10.20.1.11 riga-old-town-1 keys",
		flags: func(f *flag.FlagSet) {
			f.StringVar(&ips, "ip", "", "addresses that the daemon is reached at")
			f.StringVar(&authority, "authority", "", "the authority's certificate; DIRECTORY/authority.crt if absent")
			f.StringVar(&authorityKey, "authority-key", "", "the authority's key; DIRECTORY/authority.key if absent")
		},
		run: func(_ context.Context, args []string) error {
			if err := checkArgCount(args, 2, 2, "-ip IP[,IP...] NAME DIRECTORY"); err != nil {
				return err
			}
			if err := checkName(args[0]); err != nil {
				return err
			}
			addresses, err := parseIPs(ips)
			if err != nil {
				return err
			}
			if authority == "" {
				authority = filepath.Join(args[1], "authority.crt")
			}
			if authorityKey == "" {
				authorityKey = filepath.Join(args[1], "authority.key")
			}
			pair, err := tls.LoadX509KeyPair(authority, authorityKey)
			if err != nil {
				return &mttls.FileError{File: authority, Reason: "no authority that fits the key", Err: err}
			}
			certificate, key := filepath.Join(args[1], args[0]+".crt"), filepath.Join(args[1], args[0]+".key")
			if err := mttls.MakeCertificate(time.Now(), pair, args[0], addresses, certificate, key); err != nil {
				return err
			}
			c.showKeygenResult(keygenResult{Files: []string{certificate, key}}, "")
			return nil
		},
	}
}

// checkName rejects names that, used as a file name, would leave the directory.
func checkName(name string) error {
	if !mtini.IsName(name) {
		return &UsageError{Reason: "a name has lower-case letters, digits, dots and hyphens only"}
	}
	return nil
}

func parseIPs(text string) ([]netip.Addr, error) {
	var addresses []netip.Addr
	for _, part := range strings.Split(text, ",") {
		address, err := netip.ParseAddr(strings.TrimSpace(part))
		if err != nil {
			return nil, &UsageError{Reason: "-ip takes IP addresses with commas between them"}
		}
		addresses = append(addresses, address)
	}
	return addresses, nil
}

func keygenSecret(c *console) *command {
	return &command{
		console: c, name: "secret", synopsis: "make the secret of datagrams", usage: "DIRECTORY",
		help:    "Writes datagram.secret, which all daemons share.",
		example: "magnoliaturn keygen secret keys",
		run: func(_ context.Context, args []string) error {
			if err := checkArgCount(args, 1, 1, "DIRECTORY"); err != nil {
				return err
			}
			file := filepath.Join(args[0], "datagram.secret")
			if err := mttls.MakeSecret(file); err != nil {
				return err
			}
			c.showKeygenResult(keygenResult{Files: []string{file}}, "")
			return nil
		},
	}
}

func keygenSigner(c *console) *command {
	return &command{
		console: c, name: "signer", synopsis: "make a signer's key", usage: "NAME DIRECTORY",
		help:    "Writes NAME.key, which only the signer holds, and prints the lines with the\npublic key that go into the bundle.",
		example: "magnoliaturn keygen signer janis keys",
		run:     c.runKeygenNamed(".key", mttls.MakeSigner, "signer", "key"),
	}
}

func keygenToken(c *console) *command {
	return &command{
		console: c, name: "token", synopsis: "make an operator's token", usage: "NAME DIRECTORY",
		help:    "Writes NAME.token, which only the operator holds, and prints the lines with its\nhash that go into the daemons' operators file.",
		example: "magnoliaturn keygen token ilze keys",
		run:     c.runKeygenNamed(".token", mttls.MakeToken, "operator", "token-sha256"),
	}
}

// runKeygenNamed returns the run function of a command that makes a credential of a name, in a file
// with the suffix, and prints its public part as a field of the named section.
func (c *console) runKeygenNamed(suffix string, makeFile func(file string) (public string, err error), section, field string) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if err := checkArgCount(args, 2, 2, "NAME DIRECTORY"); err != nil {
			return err
		}
		if err := checkName(args[0]); err != nil {
			return err
		}
		file := filepath.Join(args[1], args[0]+suffix)
		public, err := makeFile(file)
		if err != nil {
			return err
		}
		c.showKeygenResult(keygenResult{Files: []string{file}, Public: public}, "["+section+" "+args[0]+"]\n"+field+" = "+public)
		return nil
	}
}
