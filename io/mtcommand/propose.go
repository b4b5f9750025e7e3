package mtcommand

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtadmin"
	"magnoliaturn/io/mttls"
)

func bundlePropose(c *console) *command {
	conn := &connection{}
	var rollback uint64
	return &command{
		console: c, name: "propose", synopsis: "propose a bundle, or a rollback", usage: "FILE | -rollback VERSION BUSINESS",
		help:    "Brings a new bundle. Its version must be the one after that in force. With\n-rollback the text of a former version is proposed under the next number.",
		example: "magnoliaturn bundle propose ratins.ini\nmagnoliaturn bundle propose -rollback 7 ratins",
		flags: func(f *flag.FlagSet) {
			conn.flags(f)
			f.Uint64Var(&rollback, "rollback", 0, "former version to propose again")
		},
		run: conn.run(1, 1, "FILE | -rollback VERSION BUSINESS", func(ctx context.Context, client *mtadmin.Client, args []string) error {
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
		}),
	}
}

// proposal returns the text to propose: that of a file or, for a rollback, that
// of a previous version under the next version number.
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
	previous, err := client.Version(ctx, business, rollback)
	if err != nil {
		return "", nil, err
	}
	return business, mtbundle.Renumber([]byte(previous.Text), inForce.Version+1), nil
}

// findDraft returns the open proposal that the arguments BUSINESS VERSION
// [DIGEST] identify. A prefix of the digest is enough; it is required if several
// proposals of the version are open.
func findDraft(ctx context.Context, client *mtadmin.Client, args []string) (mtadmin.BundleDocument, error) {
	var none mtadmin.BundleDocument
	if err := checkArgCount(args, 2, 3, "BUSINESS VERSION [DIGEST]"); err != nil {
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
		return none, &RefusedError{Reason: "several proposals are open, name one by its digest:\n" + listDigests(found)}
	}
	if len(found) == 1 {
		return client.Draft(ctx, business, found[0].Version, found[0].Digest)
	}
	// When a command is repeated, its proposal may already be in force.
	inForce, err := client.Bundle(ctx, business)
	if err == nil && inForce.Version == mtid.Version(version) && prefix != "" && strings.HasPrefix(inForce.Digest, prefix) {
		return inForce, nil
	}
	return none, &RefusedError{Reason: fmt.Sprintf("%s has no open proposal of version %d %s%s", business, version, prefix, describeInForce(inForce, err))}
}

// resolveDraft is like findDraft but does not look up a full digest. The daemon's
// answer to the acceptance then names the bundle that took the version, or
// confirms that this one is already in force if the command is repeated.
func resolveDraft(ctx context.Context, client *mtadmin.Client, args []string) (mtadmin.BundleDocument, error) {
	if len(args) == 3 && len(args[2]) == digestLength {
		if version, err := strconv.ParseUint(args[1], 10, 63); err == nil {
			return mtadmin.BundleDocument{Business: mtid.Business(args[0]), Version: mtid.Version(version), Digest: args[2]}, nil
		}
	}
	return findDraft(ctx, client, args)
}

// digestLength is the length of a full digest in hex digits.
const digestLength = 2 * len(mtbundle.Digest{})

func listDigests(found []mtadmin.BundleDocument) string {
	var lines []string
	for _, d := range found {
		lines = append(lines, d.Digest+" by "+d.Proposer)
	}
	return strings.Join(lines, "\n")
}

// describeInForce returns the end of an error message that names the bundle in
// force, for an operator whose proposal lost the race for the version.
func describeInForce(d mtadmin.BundleDocument, err error) string {
	if err != nil {
		return ""
	}
	return fmt.Sprintf("; version %d %s, proposed by %s and accepted by %s, is in force", d.Version, d.Digest, d.Proposer, d.Accepter)
}

func bundleSign(c *console) *command {
	conn := &connection{}
	var signer, keyFile string
	return &command{
		console: c, name: "sign", synopsis: "sign a proposal off", usage: "-signer NAME -key FILE BUSINESS VERSION [DIGEST]",
		help:    "Shows what the proposal changes, works out its digest from its text, signs\nthat with the key, which stays here, and hands the signature in.",
		example: "magnoliaturn bundle sign -signer janis -key janis.key ratins 2 5f0c",
		flags: func(f *flag.FlagSet) {
			conn.flags(f)
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
			client, err := conn.client()
			if err != nil {
				return err
			}
			d, err := findDraft(ctx, client, args)
			if err != nil {
				return err
			}
			digest := mtbundle.DigestOf(d.Business, d.Version, []byte(d.Text))
			// A compromised daemon could send one text with the digest of
			// another. Only the digest of the text shown is signed.
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

// preview prints the fields that a proposal changes in the bundle in force.
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
