package mtcommand

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtadmin"
	"magnoliaturn/io/mtoperator"
	"magnoliaturn/io/mtsetting"
	"magnoliaturn/io/mttls"
)

func showCommand(c *console) *command {
	return &command{
		console: c, name: "show", synopsis: "show owners, daemons and quarantine", usage: "SUBCOMMAND [flags] [arguments]",
		help:     "Asks any daemon for the live state as that daemon knows it.",
		example:  "magnoliaturn show owner ratins/dispatch hotel-7/room-214\nmagnoliaturn show roster -json",
		children: []*command{showOwner(c), showRoster(c), showAssignment(c), showQuarantine(c)},
	}
}

// showPage shows the items of a page as a table with one row each, after the daemons of the page
// that gave no answer. It returns err, the error of the query for the page, and shows nothing then.
func showPage[T any](c *console, page mtadmin.Page[T], err error, heading []string, row func(T) []string) error {
	if err != nil {
		return err
	}
	for _, d := range page.Failed {
		fmt.Fprintf(c.errs, "%s gave no answer\n", d)
	}
	var rows [][]string
	for _, item := range page.Items {
		rows = append(rows, row(item))
	}
	c.show(page.Items, heading, rows)
	return nil
}

func showOwner(c *console) *command {
	conn := &connection{}
	return &command{
		console: c, name: "owner", synopsis: "show who owns a key", usage: "BUSINESS/SERVICE KEY",
		help:    "Shows the shard of a key, its owner and epoch. An owner that is not live is\nabout to be taken over.",
		example: "magnoliaturn show owner ratins/dispatch hotel-7/room-214",
		flags:   conn.flags,
		run: conn.run(2, 2, "BUSINESS/SERVICE KEY", func(ctx context.Context, client *mtadmin.Client, args []string) error {
			ref, err := parseRef(args[0])
			if err != nil {
				return err
			}
			d, err := client.Owner(ctx, ref, mtid.Key(args[1]))
			if err != nil {
				return err
			}
			c.show(d, []string{"KEY", "OWNER", "EPOCH", "SHARD", "LIVE", "CALLER"}, [][]string{{
				string(d.Key), formatHolder(d.Shard.Owner, d.Shard.Incarnation), fmt.Sprint(d.Shard.Epoch), d.Shard.Low, yesNo(d.Live), orDash(d.Caller),
			}})
			return nil
		}),
	}
}

func formatHolder(d mtid.Daemon, i mtid.Incarnation) string {
	return mtid.Holder{Daemon: d, Incarnation: i}.String()
}

func yesNo(v bool) string {
	if v {
		return "yes"
	}
	return "no"
}

func showRoster(c *console) *command {
	conn := &connection{}
	return &command{
		console: c, name: "roster", synopsis: "list the daemons and their servers", usage: "",
		help:    "Lists every daemon with its zone, state, witnesses and backend servers.",
		example: "magnoliaturn show roster",
		flags:   conn.flags,
		run: conn.run(0, 0, "no arguments", func(ctx context.Context, client *mtadmin.Client, _ []string) error {
			page, err := client.Roster(ctx)
			return showPage(c, page, err, []string{"DAEMON", "ZONE", "REGION", "STATE", "LIVE", "SERVERS", "WITNESSES"}, func(d mtadmin.DaemonDocument) []string {
				return []string{
					formatHolder(d.Daemon, d.Incarnation), string(d.Zone), string(d.Region), d.State, yesNo(d.Live),
					formatOffers(d.Offers), orDash(strings.Join(d.Witnesses, ",")),
				}
			})
		}),
	}
}

func formatOffers(documents []mtadmin.OfferDocument) string {
	var words []string
	for _, o := range documents {
		words = append(words, fmt.Sprintf("%s/%s:%d", o.Business, o.Service, o.Slots))
	}
	return orDash(strings.Join(words, ","))
}

func showAssignment(c *console) *command {
	conn := &connection{}
	return &command{
		console: c, name: "assignment", synopsis: "list the shards of a service", usage: "BUSINESS/SERVICE",
		help:    "Lists every shard with its owner and epoch, in order of the ring.",
		example: "magnoliaturn show assignment ratins/dispatch",
		flags:   conn.flags,
		run: conn.run(1, 1, "BUSINESS/SERVICE", func(ctx context.Context, client *mtadmin.Client, args []string) error {
			ref, err := parseRef(args[0])
			if err != nil {
				return err
			}
			page, err := client.Assignment(ctx, ref)
			return showPage(c, page, err, []string{"SHARD", "OWNER", "EPOCH", "CHUNK", "VERSION"}, func(d mtadmin.ShardDocument) []string {
				return []string{d.Low, formatHolder(d.Owner, d.Incarnation), fmt.Sprint(d.Epoch), strconv.Itoa(d.Chunk), version(d.Version)}
			})
		}),
	}
}

func showQuarantine(c *console) *command {
	conn := &connection{}
	return &command{
		console: c, name: "quarantine", synopsis: "list requests that are kept from running", usage: "BUSINESS",
		help:    "Lists the fingerprints of requests in quarantine since they crashed backend\nservers, as far as daemons have refused them. Daemons that gave no answer are\nnamed on standard error.",
		example: "magnoliaturn show quarantine ratins",
		flags:   conn.flags,
		run: conn.run(1, 1, "BUSINESS", func(ctx context.Context, client *mtadmin.Client, args []string) error {
			page, err := client.Quarantine(ctx, mtid.Business(args[0]))
			return showPage(c, page, err, []string{"FINGERPRINT", "SERVICE", "REFUSED", "UNTIL", "DAEMON"}, func(d mtadmin.SuspectDocument) []string {
				return []string{d.Fingerprint, string(d.Service), strconv.Itoa(d.Refused), d.Until.Format(time.RFC3339), string(d.Daemon)}
			})
		}),
	}
}

func drainCommand(c *console) *command {
	conn := &connection{}
	return &command{
		console: c, name: "drain", synopsis: "take a daemon and its server out of service", usage: "DAEMON",
		help:    "The daemon moves its shards to others, finishes the requests that it has, and\ngoes on as an ingress. Watch its shards go with \"show assignment\".",
		example: "magnoliaturn drain riga-old-town-1",
		flags:   conn.flags,
		run: conn.run(1, 1, "DAEMON", func(ctx context.Context, client *mtadmin.Client, args []string) error {
			d, err := client.Drain(ctx, mtid.Daemon(args[0]))
			if err != nil {
				return err
			}
			c.show(d, []string{"DAEMON", "STATE"}, [][]string{{string(d.Daemon), d.State}})
			return nil
		}),
	}
}

func checkCommand(c *console) *command {
	return &command{
		console: c, name: "check", synopsis: "check a daemon's settings", usage: "FILE",
		help:    "Names every mistake of a settings file and of the files that it names.\nExits with 3 if there is one.",
		example: "magnoliaturn check daemon.ini",
		run: func(_ context.Context, args []string) error {
			if err := checkArgCount(args, 1, 1, "FILE"); err != nil {
				return err
			}
			settings, faults := mtsetting.Load(args[0])
			if err := faults.Err(); err != nil {
				return err
			}
			if err := checkOperators(settings.Operators); err != nil {
				return err
			}
			c.show(mtsetting.Faults{}, nil, [][]string{{"no mistakes"}})
			return nil
		},
	}
}

// checkOperators validates the operators file if the settings name one.
func checkOperators(file string) error {
	if file == "" {
		return nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return &mttls.FileError{File: file, Reason: "can't be read", Err: err}
	}
	_, faults := mtoperator.Parse(file, text)
	return faults.Err()
}

// build is the JSON output of "version".
type build struct {
	Version  string `json:"version"`
	Revision string `json:"revision"`
	Go       string `json:"go"`
	Platform string `json:"platform"`
}

func versionCommand(c *console) *command {
	return &command{
		console: c, name: "version", synopsis: "show what this program was built from", usage: "",
		help:    "Shows the module version, the source revision and the Go release.",
		example: "magnoliaturn version -json",
		run: func(context.Context, []string) error {
			b := build{Version: "(devel)", Revision: "unknown", Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
			if info, ok := debug.ReadBuildInfo(); ok {
				b.Version = orDash(info.Main.Version)
				for _, setting := range info.Settings {
					if setting.Key == "vcs.revision" {
						b.Revision = setting.Value
					}
				}
			}
			c.show(b, nil, [][]string{{"magnoliaturn", b.Version, b.Revision, b.Go, b.Platform}})
			return nil
		},
	}
}
