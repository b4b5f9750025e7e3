package mtcommand

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtadmin"
)

// showBundle prints one bundle, leaving out its text.
func (c *console) showBundle(d mtadmin.BundleDocument) {
	d.Text = ""
	c.show(d, bundleHeading, bundleRows([]mtadmin.BundleDocument{d}))
}

var bundleHeading = []string{"BUSINESS", "VERSION", "DIGEST", "PROPOSER", "SIGNED", "ACCEPTER", "ACCEPTED"}

func bundleRows(documents []mtadmin.BundleDocument) [][]string {
	var rows [][]string
	for _, d := range documents {
		accepted := "-"
		if d.Accepted != nil {
			accepted = d.Accepted.Format(time.RFC3339)
		}
		signed := strings.Join(d.Signed, ",")
		if d.Needed > 0 {
			signed = fmt.Sprintf("%d of %d %s", len(d.Signed), d.Needed, signed)
		}
		rows = append(rows, []string{
			string(d.Business), version(d.Version), d.Digest, d.Proposer, orDash(signed), orDash(d.Accepter), accepted,
		})
	}
	return rows
}

func version(v mtid.Version) string { return strconv.FormatUint(uint64(v), 10) }

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// shownBundle is the JSON output of "bundle show".
type shownBundle struct {
	InForce *mtadmin.BundleDocument   `json:"inForce"`
	Drafts  []mtadmin.BundleDocument  `json:"drafts"`
	Daemons []mtadmin.InForceDocument `json:"daemons"`
}

func bundleShow(c *console) *command {
	conn := &connection{}
	var text bool
	var requested uint64
	return &command{
		console: c, name: "show", synopsis: "show the bundle in force, and where it is", usage: "BUSINESS",
		help:    "Shows the bundle in force, the open proposals, and which version each daemon\ngoes by. With -text only the text is printed, with -version a former one.",
		example: "magnoliaturn bundle show ratins\nmagnoliaturn bundle show -text -version 6 ratins",
		flags: func(f *flag.FlagSet) {
			conn.flags(f)
			f.BoolVar(&text, "text", false, "print the text only")
			f.Uint64Var(&requested, "version", 0, "a former version; the one in force if absent")
		},
		run: conn.run(1, 1, "BUSINESS", func(ctx context.Context, client *mtadmin.Client, args []string) error {
			business := mtid.Business(args[0])
			if text || requested > 0 {
				return c.showText(ctx, client, business, mtid.Version(requested), text)
			}
			return c.showStatus(ctx, client, business)
		}),
	}
}

func (c *console) showText(ctx context.Context, client *mtadmin.Client, business mtid.Business, requested mtid.Version, text bool) error {
	var d mtadmin.BundleDocument
	var err error
	if requested == 0 {
		d, err = client.Bundle(ctx, business)
	} else {
		d, err = client.Version(ctx, business, requested)
	}
	if err != nil {
		return err
	}
	if text && !c.json {
		fmt.Fprint(c.out, d.Text)
		return nil
	}
	c.show(d, bundleHeading, bundleRows([]mtadmin.BundleDocument{d}))
	return nil
}

// showStatus prints the bundle in force, the open proposals and the version that
// each daemon applies. While the store is unavailable it prints the daemons'
// versions only, which operators need most during an outage.
func (c *console) showStatus(ctx context.Context, client *mtadmin.Client, business mtid.Business) error {
	var shown shownBundle
	inForce, err := client.Bundle(ctx, business)
	switch {
	case err == nil:
		inForce.Text = ""
		shown.InForce = &inForce
	case isTransient(err):
		fmt.Fprintln(c.errs, err.Error())
	case !isMissing(err):
		return err
	}
	drafts, err := client.Drafts(ctx, business)
	if err != nil && !isTransient(err) {
		return err
	}
	force, err := client.VersionsInForce(ctx, business)
	if err != nil {
		return err
	}
	shown.Drafts, shown.Daemons = drafts.Items, force.Items
	var bundles []mtadmin.BundleDocument
	if shown.InForce != nil {
		bundles = append(bundles, inForce)
	}
	c.showBundleStatus(shown, bundleRows(append(bundles, drafts.Items...)), force.Items)
	return nil
}

func (c *console) showBundleStatus(shown shownBundle, bundles [][]string, force []mtadmin.InForceDocument) {
	if c.json {
		c.show(shown, nil, nil)
		return
	}
	c.show(nil, bundleHeading, bundles)
	var rows [][]string
	current := 0
	for _, d := range force {
		if shown.InForce != nil && d.Version == shown.InForce.Version {
			current++
		}
		rows = append(rows, []string{string(d.Daemon), string(d.Zone), version(d.Version), orDash(d.Error)})
	}
	fmt.Fprintln(c.out)
	c.show(nil, []string{"DAEMON", "ZONE", "VERSION", "ERROR"}, rows)
	if shown.InForce != nil {
		fmt.Fprintf(c.out, "\nin force at %d of %d daemons\n", current, len(force))
	}
}

func isMissing(err error) bool {
	p, ok := err.(*mtadmin.Problem)
	return ok && p.Reason() == mtadmin.ReasonMissing
}

func bundleHistory(c *console) *command {
	conn := &connection{}
	return &command{
		console: c, name: "history", synopsis: "list the versions that are kept", usage: "BUSINESS",
		help:    "Lists the bundle in force and the former ones that the store keeps, the newest\nfirst.",
		example: "magnoliaturn bundle history ratins",
		flags:   conn.flags,
		run: conn.run(1, 1, "BUSINESS", func(ctx context.Context, client *mtadmin.Client, args []string) error {
			page, err := client.History(ctx, mtid.Business(args[0]))
			if err != nil {
				return err
			}
			c.show(page.Items, bundleHeading, bundleRows(page.Items))
			return nil
		}),
	}
}
