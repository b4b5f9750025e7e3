package mtcommand

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtini"
	"magnoliaturn/io/mtadmin"
	"magnoliaturn/io/mttls"
)

func bundleCommand(c *console) *command {
	return &command{
		console: c, name: "bundle", synopsis: "check, compare and roll out bundles", usage: "SUBCOMMAND [flags] [arguments]",
		help:    "A bundle is the configuration of one business. It is proposed, signed by\nothers than its proposer, and accepted; then it is in force everywhere.",
		example: "magnoliaturn bundle check ratins.ini\nmagnoliaturn bundle propose ratins.ini\nmagnoliaturn bundle sign -signer janis -key janis.key ratins 2\nmagnoliaturn bundle accept ratins 2",
		children: []*command{
			bundleCheck(c), bundleDiff(c), bundlePropose(c), bundleSign(c), bundleAccept(c), bundleShow(c), bundleHistory(c),
		},
	}
}

// parseFile reads and checks a bundle's file.
func parseFile(file string) (*mtbundle.Bundle, []byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, mtini.Faults{{File: file, Field: "file", Value: file, Accept: "a file that can be read"}}
	}
	b, faults := mtbundle.Parse(file, text)
	return b, text, faults.Err()
}

func bundleCheck(c *console) *command {
	return &command{
		console: c, name: "check", synopsis: "check bundles without a daemon", usage: "FILE...",
		help:    "Names every mistake with file, line, field, value and what is accepted.\nExits with 3 if there is one.",
		example: "magnoliaturn bundle check ratins.ini",
		run: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return &UsageError{Reason: "expected: FILE..."}
			}
			var all mtini.Faults
			for _, file := range args {
				_, _, err := parseFile(file)
				if faults, ok := err.(mtini.Faults); ok {
					all = append(all, faults...)
				}
			}
			if err := all.Err(); err != nil {
				return err
			}
			c.show(mtini.Faults{}, nil, [][]string{{"no mistakes"}})
			return nil
		},
	}
}

func bundleDiff(c *console) *command {
	return &command{
		console: c, name: "diff", synopsis: "compare what two bundles mean", usage: "OLD NEW",
		help:    "Compares the fields of two files with their defaults filled in. Comments and\nthe order of lines play no part.",
		example: "magnoliaturn bundle diff ratins-1.ini ratins-2.ini",
		run: func(_ context.Context, args []string) error {
			if err := need(args, 2, 2, "OLD NEW"); err != nil {
				return err
			}
			before, _, err := parseFile(args[0])
			if err != nil {
				return err
			}
			after, _, err := parseFile(args[1])
			if err != nil {
				return err
			}
			changes := mtbundle.Diff(before, after)
			c.show(changes, []string{"FIELD", "OLD", "NEW"}, changeRows(changes))
			return nil
		},
	}
}

func changeRows(changes []mtbundle.Change) [][]string {
	var rows [][]string
	for _, change := range changes {
		rows = append(rows, []string{change.Field, change.Old, change.New})
	}
	return rows
}

func bundlePropose(c *console) *command {
	at := &connection{}
	var rollback uint64
	return &command{
		console: c, name: "propose", synopsis: "propose a bundle, or a rollback", usage: "FILE | -rollback VERSION BUSINESS",
		help:    "Brings a new bundle. Its version must be the one after that in force. With\n-rollback the text of a former version is proposed under the next number.",
		example: "magnoliaturn bundle propose ratins.ini\nmagnoliaturn bundle propose -rollback 7 ratins",
		flags: func(f *flag.FlagSet) {
			at.flags(f)
			f.Uint64Var(&rollback, "rollback", 0, "former version to propose again")
		},
		run: func(ctx context.Context, args []string) error {
			if err := need(args, 1, 1, "FILE | -rollback VERSION BUSINESS"); err != nil {
				return err
			}
			client, err := at.client()
			if err != nil {
				return err
			}
			business, text, err := proposal(ctx, client, args[0], mtid.Version(rollback))
			if err != nil {
				return err
			}
			d, err := client.Propose(ctx, business, text)
			if err != nil {
				return err
			}
			c.showBundle(d)
			return nil
		},
	}
}

// proposal returns the text to propose: a file's, or a former version's.
func proposal(ctx context.Context, client *mtadmin.Client, arg string, rollback mtid.Version) (mtid.Business, []byte, error) {
	if rollback == 0 {
		b, text, err := parseFile(arg)
		if err != nil {
			return "", nil, err
		}
		return b.Business, text, nil
	}
	business := mtid.Business(arg)
	inForce, err := client.Bundle(ctx, business)
	if err != nil {
		return "", nil, err
	}
	former, err := client.Version(ctx, business, rollback)
	if err != nil {
		return "", nil, err
	}
	return business, mtbundle.Renumber([]byte(former.Text), inForce.Version+1), nil
}

// draft finds the open proposal that BUSINESS VERSION [DIGEST] means. A digest
// may be cut short; it is needed where several proposals are open.
func draft(ctx context.Context, client *mtadmin.Client, args []string) (mtadmin.BundleDocument, error) {
	var none mtadmin.BundleDocument
	if err := need(args, 2, 3, "BUSINESS VERSION [DIGEST]"); err != nil {
		return none, err
	}
	version, err := strconv.ParseUint(args[1], 10, 63)
	if err != nil {
		return none, &UsageError{Reason: "a version is a whole number, not " + args[1]}
	}
	prefix := ""
	if len(args) == 3 {
		prefix = args[2]
	}
	business := mtid.Business(args[0])
	drafts, err := client.Drafts(ctx, business)
	if err != nil {
		return none, err
	}
	var found []mtadmin.BundleDocument
	for _, d := range drafts.Items {
		if d.Version == mtid.Version(version) && strings.HasPrefix(d.Digest, prefix) {
			found = append(found, d)
		}
	}
	if len(found) > 1 {
		return none, &RefusedError{Reason: "several proposals are open, name one by its digest:\n" + digests(found)}
	}
	if len(found) == 1 {
		return client.Draft(ctx, business, found[0].Version, found[0].Digest)
	}
	// It may be in force by now, if this command is repeated.
	inForce, err := client.Bundle(ctx, business)
	if err == nil && inForce.Version == mtid.Version(version) && prefix != "" && strings.HasPrefix(inForce.Digest, prefix) {
		return inForce, nil
	}
	return none, &RefusedError{Reason: fmt.Sprintf("%s has no open proposal of version %d %s%s", business, version, prefix, winner(inForce, err))}
}

// named is draft, but believes a whole digest without looking it up: the daemon
// then says which bundle won, and a repeated command finds its own in force.
func named(ctx context.Context, client *mtadmin.Client, args []string) (mtadmin.BundleDocument, error) {
	if len(args) == 3 && len(args[2]) == digestLength {
		if version, err := strconv.ParseUint(args[1], 10, 63); err == nil {
			return mtadmin.BundleDocument{Business: mtid.Business(args[0]), Version: mtid.Version(version), Digest: args[2]}, nil
		}
	}
	return draft(ctx, client, args)
}

// digestLength is the length of a whole digest in hex.
const digestLength = 2 * len(mtbundle.Digest{})

func digests(found []mtadmin.BundleDocument) string {
	var lines []string
	for _, d := range found {
		lines = append(lines, d.Digest+" by "+d.Proposer)
	}
	return strings.Join(lines, "\n")
}

// winner says which bundle is in force, for an operator who lost a race.
func winner(d mtadmin.BundleDocument, err error) string {
	if err != nil {
		return ""
	}
	return fmt.Sprintf("; version %d %s, proposed by %s and accepted by %s, is in force", d.Version, d.Digest, d.Proposer, d.Accepter)
}

func bundleSign(c *console) *command {
	at := &connection{}
	var signer, keyFile string
	return &command{
		console: c, name: "sign", synopsis: "sign a proposal off", usage: "-signer NAME -key FILE BUSINESS VERSION [DIGEST]",
		help:    "Shows what the proposal changes, works out its digest from its text, signs\nthat with the key, which stays here, and hands the signature in.",
		example: "magnoliaturn bundle sign -signer janis -key janis.key ratins 2 5f0c",
		flags: func(f *flag.FlagSet) {
			at.flags(f)
			f.StringVar(&signer, "signer", "", "the signer's name in the bundle in force")
			f.StringVar(&keyFile, "key", "", "file with the signer's private key")
		},
		run: func(ctx context.Context, args []string) error {
			if signer == "" || keyFile == "" {
				return &UsageError{Reason: "-signer and -key are required"}
			}
			key, err := mttls.ReadSigner(keyFile)
			if err != nil {
				return err
			}
			client, err := at.client()
			if err != nil {
				return err
			}
			d, err := draft(ctx, client, args)
			if err != nil {
				return err
			}
			digest := mtbundle.DigestOf(d.Business, d.Version, []byte(d.Text))
			// A daemon that was tampered with could show one text and name
			// another's digest. What is signed is the text that was shown.
			if digest.String() != d.Digest {
				return &RefusedError{Reason: "the daemon's digest does not fit the text that it sent; nothing was signed"}
			}
			if err := c.preview(ctx, client, d); err != nil {
				return err
			}
			sig := mtbundle.Sign(signer, key, digest)
			signed, err := client.Sign(ctx, d.Business, d.Version, d.Digest, mtadmin.SignatureDocument{Signer: sig.Signer, Value: sig.Value})
			if err != nil {
				return err
			}
			c.showBundle(signed)
			return nil
		},
	}
}

// preview shows a signer what a proposal changes.
func (c *console) preview(ctx context.Context, client *mtadmin.Client, d mtadmin.BundleDocument) error {
	after, faults := mtbundle.Parse(d.Digest, []byte(d.Text))
	if err := faults.Err(); err != nil {
		return err
	}
	var before *mtbundle.Bundle
	if inForce, err := client.Bundle(ctx, d.Business); err == nil {
		before, _ = mtbundle.Parse("in force", []byte(inForce.Text))
	}
	for _, change := range mtbundle.Diff(before, after) {
		fmt.Fprintf(c.errs, "%s: %q -> %q\n", change.Field, change.Old, change.New)
	}
	return nil
}

func bundleAccept(c *console) *command {
	at := &connection{}
	var wait time.Duration
	return &command{
		console: c, name: "accept", synopsis: "put a signed proposal in force", usage: "BUSINESS VERSION [DIGEST]",
		help:    "Puts a proposal in force everywhere. If another bundle took the version first,\nnothing is done and the winner is named. May be repeated after exit code 4.\nWith -wait it goes on until every live daemon goes by the bundle, and exits with\n5 if that takes longer.",
		example: "magnoliaturn bundle accept -wait 10s ratins 2 5f0c",
		flags: func(f *flag.FlagSet) {
			at.flags(f)
			f.DurationVar(&wait, "wait", 0, "wait that long for the bundle to be in force everywhere")
		},
		run: func(ctx context.Context, args []string) error {
			client, err := at.client()
			if err != nil {
				return err
			}
			d, err := named(ctx, client, args)
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

// forcePoll is the pause between two looks at where a bundle is in force.
const forcePoll = 25 * time.Millisecond

// SlowError says that a bundle is accepted, but not in force everywhere yet.
type SlowError struct {
	Behind []mtid.Daemon
	Wait   time.Duration
}

// Error implements error.
func (e *SlowError) Error() string {
	return fmt.Sprintf("accepted, but not in force after %s at: %v", e.Wait, e.Behind)
}

// awaitForce waits until every live daemon goes by the bundle or a newer one,
// and prints how long that took from when the acceptance was asked for.
func (c *console) awaitForce(ctx context.Context, client *mtadmin.Client, d mtadmin.BundleDocument, began time.Time, wait time.Duration) error {
	for {
		page, err := client.Force(ctx, d.Business)
		if err != nil && !passing(err) {
			return err
		}
		behind := behindOf(page.Items, d.Version)
		took := time.Since(began)
		if err == nil && len(behind) == 0 {
			fmt.Fprintf(c.errs, "in force at %d daemons after %s\n", len(page.Items), took.Round(time.Millisecond))
			return nil
		}
		if took > wait {
			return &SlowError{Behind: behind, Wait: wait}
		}
		select {
		case <-ctx.Done():
			return &SlowError{Behind: behind, Wait: took}
		case <-time.After(forcePoll):
		}
	}
}

// passing reports whether an error is over soon: the daemon limits its clients,
// or is busy.
func passing(err error) bool {
	var p *mtadmin.Problem
	return errors.As(err, &p) && exitOf(p) == ExitUnavailable
}

// behindOf returns the daemons that go by an older version, or gave no answer.
func behindOf(documents []mtadmin.ForceDocument, version mtid.Version) []mtid.Daemon {
	var behind []mtid.Daemon
	for _, d := range documents {
		if d.Version < version {
			behind = append(behind, d.Daemon)
		}
	}
	return behind
}

// showBundle prints one bundle without its text.
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
			string(d.Business), version(d.Version), d.Digest, d.Proposer, dash(signed), dash(d.Accepter), accepted,
		})
	}
	return rows
}

func version(v mtid.Version) string { return strconv.FormatUint(uint64(v), 10) }

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// shownBundle is the JSON form of "bundle show".
type shownBundle struct {
	InForce *mtadmin.BundleDocument  `json:"inForce"`
	Drafts  []mtadmin.BundleDocument `json:"drafts"`
	Daemons []mtadmin.ForceDocument  `json:"daemons"`
}

func bundleShow(c *console) *command {
	at := &connection{}
	var text bool
	var former uint64
	return &command{
		console: c, name: "show", synopsis: "show the bundle in force, and where it is", usage: "BUSINESS",
		help:    "Shows the bundle in force, the open proposals, and which version each daemon\ngoes by. With -text only the text is printed, with -version a former one.",
		example: "magnoliaturn bundle show ratins\nmagnoliaturn bundle show -text -version 6 ratins",
		flags: func(f *flag.FlagSet) {
			at.flags(f)
			f.BoolVar(&text, "text", false, "print the text only")
			f.Uint64Var(&former, "version", 0, "a former version; the one in force if absent")
		},
		run: func(ctx context.Context, args []string) error {
			if err := need(args, 1, 1, "BUSINESS"); err != nil {
				return err
			}
			client, err := at.client()
			if err != nil {
				return err
			}
			business := mtid.Business(args[0])
			if text || former > 0 {
				return c.showText(ctx, client, business, mtid.Version(former), text)
			}
			return c.showForce(ctx, client, business)
		},
	}
}

func (c *console) showText(ctx context.Context, client *mtadmin.Client, business mtid.Business, former mtid.Version, text bool) error {
	var d mtadmin.BundleDocument
	var err error
	if former == 0 {
		d, err = client.Bundle(ctx, business)
	} else {
		d, err = client.Version(ctx, business, former)
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

// showForce shows what the store holds and what the daemons go by. In an outage
// of the store the second is all that there is, and what operators look for.
func (c *console) showForce(ctx context.Context, client *mtadmin.Client, business mtid.Business) error {
	var shown shownBundle
	inForce, err := client.Bundle(ctx, business)
	switch {
	case err == nil:
		inForce.Text = ""
		shown.InForce = &inForce
	case passing(err):
		fmt.Fprintln(c.errs, err.Error())
	case !isMissing(err):
		return err
	}
	drafts, err := client.Drafts(ctx, business)
	if err != nil && !passing(err) {
		return err
	}
	force, err := client.Force(ctx, business)
	if err != nil {
		return err
	}
	shown.Drafts, shown.Daemons = drafts.Items, force.Items
	var bundles []mtadmin.BundleDocument
	if shown.InForce != nil {
		bundles = append(bundles, inForce)
	}
	c.showParts(shown, bundleRows(append(bundles, drafts.Items...)), force.Items)
	return nil
}

func (c *console) showParts(shown shownBundle, bundles [][]string, force []mtadmin.ForceDocument) {
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
		rows = append(rows, []string{string(d.Daemon), string(d.Zone), version(d.Version), dash(d.Error)})
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
	at := &connection{}
	return &command{
		console: c, name: "history", synopsis: "list the versions that are kept", usage: "BUSINESS",
		help:    "Lists the bundle in force and the former ones that the store keeps, the newest\nfirst.",
		example: "magnoliaturn bundle history ratins",
		flags:   at.flags,
		run: func(ctx context.Context, args []string) error {
			if err := need(args, 1, 1, "BUSINESS"); err != nil {
				return err
			}
			client, err := at.client()
			if err != nil {
				return err
			}
			page, err := client.History(ctx, mtid.Business(args[0]))
			if err != nil {
				return err
			}
			c.show(page.Items, bundleHeading, bundleRows(page.Items))
			return nil
		},
	}
}
