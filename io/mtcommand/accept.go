package mtcommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtadmin"
)

func bundleAccept(c *console) *command {
	conn := &connection{}
	var wait time.Duration
	return &command{
		console: c, name: "accept", synopsis: "put a signed proposal in force", usage: "BUSINESS VERSION [DIGEST]",
		help:    "Puts a proposal in force everywhere. If another bundle took the version first,\nnothing is done and the winner is named. May be repeated after exit code 4.\nWith -wait it goes on until every live daemon goes by the bundle, and exits with\n5 if that takes longer.",
		example: "magnoliaturn bundle accept -wait 10s ratins 2 5f0c",
		flags: func(f *flag.FlagSet) {
			conn.flags(f)
			f.DurationVar(&wait, "wait", 0, "wait that long for the bundle to be in force everywhere")
		},
		run: func(ctx context.Context, args []string) error {
			client, err := conn.client()
			if err != nil {
				return err
			}
			d, err := resolveDraft(ctx, client, args)
			if err != nil {
				return err
			}
			began := time.Now()
			accepted, err := client.Accept(ctx, d.Business, d.Version, d.Digest)
			if err != nil {
				return err
			}
			c.showBundle(accepted)
			if wait == 0 {
				return nil
			}
			return c.awaitForce(ctx, client, accepted, began, wait)
		},
	}
}

// forcePollInterval is the delay between two queries for the daemons' versions.
const forcePollInterval = 25 * time.Millisecond

// NotInForceError reports that an accepted bundle was not in force at every live
// daemon when the wait ended.
type NotInForceError struct {
	Behind []mtid.Daemon
	Wait   time.Duration
}

// Error implements error.
func (e *NotInForceError) Error() string {
	return fmt.Sprintf("accepted, but not in force after %s at: %v", e.Wait, e.Behind)
}

// awaitForce waits until every live daemon applies the bundle or a newer one and
// prints the time since began, when the acceptance was requested.
func (c *console) awaitForce(ctx context.Context, client *mtadmin.Client, d mtadmin.BundleDocument, began time.Time, wait time.Duration) error {
	for {
		page, err := client.VersionsInForce(ctx, d.Business)
		if err != nil && !isTransient(err) {
			return err
		}
		behind := daemonsBehind(page.Items, d.Version)
		took := time.Since(began)
		if err == nil && len(behind) == 0 {
			fmt.Fprintf(c.errs, "in force at %d daemons after %s\n", len(page.Items), took.Round(time.Millisecond))
			return nil
		}
		if took > wait {
			return &NotInForceError{Behind: behind, Wait: wait}
		}
		select {
		case <-ctx.Done():
			return &NotInForceError{Behind: behind, Wait: took}
		case <-time.After(forcePollInterval):
		}
	}
}

// isTransient reports whether a daemon rejected a request only for the moment,
// because of a rate limit or because something it depends on is unavailable.
func isTransient(err error) bool {
	var p *mtadmin.Problem
	return errors.As(err, &p) && exitStatusOf(p) == ExitUnavailable
}

// daemonsBehind returns the daemons that apply an older version or did not answer.
func daemonsBehind(documents []mtadmin.InForceDocument, version mtid.Version) []mtid.Daemon {
	var behind []mtid.Daemon
	for _, d := range documents {
		if d.Version < version {
			behind = append(behind, d.Daemon)
		}
	}
	return behind
}
