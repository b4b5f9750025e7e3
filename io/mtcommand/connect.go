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

// Variables of the environment that flags default to.
const (
	envAPI       = "MAGNOLIATURN_API"
	envToken     = "MAGNOLIATURN_TOKEN_FILE"
	envAuthority = "MAGNOLIATURN_AUTHORITY"
)

// connection are the flags of commands that ask a daemon.
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

// run returns the function of a command that needs so many arguments, written as
// usage, and a client of the administration API.
func (c *connection) run(low, high int, usage string, do func(ctx context.Context, client *mtadmin.Client, args []string) error) func(context.Context, []string) error {
	return func(ctx context.Context, args []string) error {
		if err := need(args, low, high, usage); err != nil {
			return err
		}
		client, err := c.client()
		if err != nil {
			return err
		}
		return do(ctx, client, args)
	}
}

// client returns a client for what the flags say. A token goes over TLS only,
// or to this machine.
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

// refOf reads "business/service".
func refOf(text string) (mtid.Ref, error) {
	business, service, ok := strings.Cut(text, "/")
	if !ok || business == "" || service == "" {
		return mtid.Ref{}, &UsageError{Reason: "a service is written BUSINESS/SERVICE, not " + text}
	}
	return mtid.Ref{Business: mtid.Business(business), Service: mtid.Service(service)}, nil
}
