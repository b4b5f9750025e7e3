package mtcommand

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"flag"
	"net/url"
	"os"
	"strings"

	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtadmin"
	"magnoliaturn/io/mttls"
)

// Environment variables that supply the defaults of flags.
const (
	envAPI       = "MAGNOLIATURN_API"
	envToken     = "MAGNOLIATURN_TOKEN_FILE"
	envAuthority = "MAGNOLIATURN_AUTHORITY"
)

// connection holds the flags of commands that call a daemon.
type connection struct {
	api       string
	token     string
	authority string
}

func (c *connection) flags(f *flag.FlagSet) {
	f.StringVar(&c.api, "api", os.Getenv(envAPI), "administration API of any daemon, a URL; also "+envAPI)
	f.StringVar(&c.token, "token-file", os.Getenv(envToken), "file with the operator's token; also "+envToken)
	f.StringVar(&c.authority, "authority", os.Getenv(envAuthority), "file with the authority's certificates; also "+envAuthority)
}

// run returns a command's run function. It checks that there are low to high
// arguments and calls do with a client of the administration API.
func (c *connection) run(low, high int, usage string, do func(ctx context.Context, client *mtadmin.Client, args []string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if err := checkArgCount(args, low, high, usage); err != nil {
			return err
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		return do(ctx, client, args)
	}
}

// client returns a client configured by the flags. It refuses to send a token
// without TLS except to a loopback address.
func (c *connection) client() (*mtadmin.Client, error) {
	base, err := url.Parse(c.api)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, &UsageError{Reason: "-api or " + envAPI + " must be the URL of a daemon, such as https://10.20.1.11:8083"}
	}
	token := ""
	if c.token != "" {
		if token, err = mttls.ReadToken(c.token); err != nil {
			return nil, err
		}
	}
	if base.Scheme == "http" && token != "" && !loopback(base.Hostname()) {
		return nil, &UsageError{Reason: "a token is sent by https only, or to a loopback address"}
	}
	config, err := c.tls()
	if err != nil {
		return nil, err
	}
	return mtadmin.NewClient(c.api, token, config), nil
}

func loopback(host string) bool { return host == "::1" || strings.HasPrefix(host, "127.") }

func (c *connection) tls() (*tls.Config, error) {
	if c.authority == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(c.authority)
	if err != nil {
		return nil, &mttls.FileError{File: c.authority, Reason: "can't be read", Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &mttls.FileError{File: c.authority, Reason: "holds no PEM certificate"}
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: pool}, nil
}

// parseRef parses "business/service".
func parseRef(text string) (mtid.Ref, error) {
	business, service, ok := strings.Cut(text, "/")
	if !ok || business == "" || service == "" {
		return mtid.Ref{}, &UsageError{Reason: "a service is written BUSINESS/SERVICE, not " + text}
	}
	return mtid.Ref{Business: mtid.Business(business), Service: mtid.Service(service)}, nil
}
