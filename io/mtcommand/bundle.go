package mtcommand

import (
	"context"
	"os"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtini"
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

// parseFile reads and validates a bundle file and also returns its text.
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
			if err := checkArgCount(args, 2, 2, "OLD NEW"); err != nil {
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
