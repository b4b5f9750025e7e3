package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/google/subcommands"

	"magnoliaturn/core/mtid"
	"magnoliaturn/io/mtadmin"
	"magnoliaturn/io/mtcommand"
	"magnoliaturn/io/mtsetting"
	"magnoliaturn/io/mtstore"
)

// Bounds of the waits of this example.
const (
	patience  = 30 * time.Second
	pollEvery = 100 * time.Millisecond
)

const size = 4

var zones = [size]mtid.Zone{"old-town", "centrs", "kipsala", "airport"}

// WaitError says that something did not come about in time.
type WaitError struct{ What string }

// Error implements error.
func (e *WaitError) Error() string { return "waited in vain for " + e.What }

// LostError says that callers were left without a truthful answer.
type LostError struct{ Unknown int64 }

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("%d requests ended with an unknown outcome", e.Unknown)
}

// tour is one run of the example.
type tour struct {
	*shell
	store   *mtstore.Memory
	members []*member
	signers string // the [signer] sections of bundles
}

// run goes the whole way. dir is an empty directory for its files.
func run(ctx context.Context, out io.Writer, dir string) error {
	t := &tour{shell: &shell{out: out, dir: dir}, store: mtstore.NewMemory(time.Now)}
	defer t.stop()
	for _, step := range []func(context.Context) error{
		t.keygen, t.start, t.refused, t.inForce, t.race, t.rollback, t.drain,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (t *tour) stop() {
	for _, m := range t.members {
		m.stop()
	}
}

// steps runs commands that must succeed.
func (t *tour) steps(ctx context.Context, commands ...[]string) error {
	for _, args := range commands {
		if _, err := t.run(ctx, subcommands.ExitSuccess, args...); err != nil {
			return err
		}
	}
	return nil
}

// keygen makes the credentials: of the daemons, of two signers and of two
// operators.
func (t *tour) keygen(ctx context.Context) error {
	t.say("Credentials of the daemons")
	t.authority = t.file("authority.crt")
	err := t.steps(ctx,
		[]string{"keygen", "authority", t.dir},
		[]string{"keygen", "certificate", "-ip", "127.0.0.1", "daemon", t.dir},
		[]string{"keygen", "secret", t.dir},
	)
	if err != nil {
		return err
	}
	t.say("Two people who propose, sign and accept")
	var operators string
	for _, name := range []string{"ilze", "janis"} {
		signer, err := t.run(ctx, subcommands.ExitSuccess, "keygen", "signer", name, t.dir)
		if err != nil {
			return err
		}
		token, err := t.run(ctx, subcommands.ExitSuccess, "keygen", "token", name, t.dir)
		if err != nil {
			return err
		}
		t.signers += afterFirstLine(signer)
		operators += afterFirstLine(token) + "[grant " + name + " ratins]\nroles = view, propose, sign, accept, drain\n"
	}
	if err := t.write("operators.ini", operators); err != nil {
		return err
	}
	return t.write("signers.ini", t.signers)
}

func afterFirstLine(text string) string {
	_, rest, _ := strings.Cut(text, "\n")
	return rest
}

// start checks the settings and starts the fleet.
func (t *tour) start(ctx context.Context) error {
	t.say("Settings of the daemons, checked before the start")
	var all []*mtsetting.Settings
	for i := range size {
		settings, err := t.settings(ctx, i, all)
		if err != nil {
			return err
		}
		all = append(all, settings)
	}
	for _, settings := range all {
		m, err := startMember(settings, t.store)
		if err != nil {
			return err
		}
		t.members = append(t.members, m)
	}
	t.api = "https://" + all[0].Admin
	return t.wait(ctx, "all daemons in the roster", func() (bool, error) {
		var roster []mtadmin.DaemonDocument
		err := t.ask(ctx, &roster, 2, "show", "roster")
		live := 0
		for _, d := range roster {
			if d.Live && len(d.Offers) > 0 {
				live++
			}
		}
		return live == size, err
	})
}

// settings writes and loads the settings of daemon i.
func (t *tour) settings(ctx context.Context, i int, before []*mtsetting.Settings) (*mtsetting.Settings, error) {
	var addresses [4]string
	for n := range addresses {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		addresses[n] = address
	}
	text := fmt.Sprintf(`[daemon]
name   = riga-%s-1
zone   = %s
region = riga
[listen]
caller = %s
relay  = %s
renew  = %s
local  = %s
admin  = %s
[store]
url = http://127.0.0.1:2380
[keys]
certificate = daemon.crt
key         = daemon.key
authority   = authority.crt
secret      = datagram.secret
[operators]
file = operators.ini
[root ratins]
signers    = signers.ini
signatures = 1
`, zones[i], zones[i], addresses[0], addresses[1], addresses[1], addresses[2], addresses[3])
	if len(before) > 0 {
		text += "[peers]\nseeds = " + before[0].Relay + "\n"
	}
	name := fmt.Sprintf("%s.ini", zones[i])
	if err := t.write(name, text); err != nil {
		return nil, err
	}
	if err := t.steps(ctx, []string{"check", t.file(name)}); err != nil {
		return nil, err
	}
	settings, faults := mtsetting.Load(t.file(name))
	return settings, faults.Err()
}

// bundle returns a bundle's text. note makes texts differ.
func (t *tour) bundle(version int, timeout, note string) string {
	return fmt.Sprintf(`# %s
[bundle]
business = ratins
version  = %d
%s
[service dispatch]
kind      = keyed
imbalance = 5
shards    = 16
[class dispatch status]
idempotent = yes
timeout    = %s
retries    = 0.5
[class dispatch send]
timeout = 3s
`, note, version, t.signers, timeout)
}

// refused shows a bundle with mistakes.
func (t *tour) refused(ctx context.Context) error {
	t.say("A bundle with mistakes: all are named at once, and nothing is proposed")
	text := strings.NewReplacer("kind      = keyed", "kind = sharded", "shards    = 16", "shards = none").
		Replace(t.bundle(1, "never", "with mistakes"))
	if err := t.write("bad.ini", text); err != nil {
		return err
	}
	_, err := t.run(ctx, mtcommand.ExitRefused, t.as("ilze", 2, "bundle", "propose", t.file("bad.ini"))...)
	return err
}

// inForce brings a bundle from its proposal to force everywhere.
func (t *tour) inForce(ctx context.Context) error {
	t.say("The bundle mended: proposed by ilze, who can't sign it off alone")
	if err := t.write("ratins-1.ini", t.bundle(1, "2s", "first")); err != nil {
		return err
	}
	if err := t.steps(ctx, t.as("ilze", 2, "bundle", "propose", t.file("ratins-1.ini"))); err != nil {
		return err
	}
	_, err := t.run(ctx, mtcommand.ExitRefused, t.as("ilze", 2, "bundle", "sign", "-signer", "ilze", "-key", t.file("ilze.key"), "ratins", "1")...)
	if err != nil {
		return err
	}
	if _, err = t.run(ctx, mtcommand.ExitRefused, t.as("ilze", 2, "bundle", "accept", "ratins", "1")...); err != nil {
		return err
	}
	t.say("Signed off by janis, and accepted")
	err = t.steps(ctx,
		t.as("janis", 2, "bundle", "sign", "-signer", "janis", "-key", t.file("janis.key"), "ratins", "1"),
		t.as("ilze", 2, "bundle", "accept", "ratins", "1"),
	)
	if err != nil {
		return err
	}
	return t.everywhere(ctx, 1)
}

// everywhere waits until a version is in force at all daemons.
func (t *tour) everywhere(ctx context.Context, version mtid.Version) error {
	began := time.Now()
	err := t.wait(ctx, "the bundle in force everywhere", func() (bool, error) {
		var shown struct{ Daemons []mtadmin.InForceDocument }
		err := t.ask(ctx, &shown, 2, "bundle", "show", "ratins")
		for _, d := range shown.Daemons {
			if d.Version != version {
				return false, err
			}
		}
		return len(shown.Daemons) == size, err
	})
	if err != nil {
		return err
	}
	t.say("Seen in force everywhere %s after the answer to the acceptance", time.Since(began).Round(time.Millisecond))
	return t.steps(ctx, t.as("ilze", 2, "bundle", "show", "ratins"))
}

// race lets two operators prepare version 2.
func (t *tour) race(ctx context.Context) error {
	t.say("Ilze and Janis prepare version 2 at the same time, and sign each other's off")
	other := map[string]string{"ilze": "janis", "janis": "ilze"}
	digests := map[string]string{}
	for i, name := range []string{"ilze", "janis"} {
		file := fmt.Sprintf("ratins-2-%s.ini", name)
		if err := t.write(file, t.bundle(2, fmt.Sprintf("%ds", 3+i), "of "+name)); err != nil {
			return err
		}
		var proposed mtadmin.BundleDocument
		out, err := t.run(ctx, subcommands.ExitSuccess, t.as(name, 2, "bundle", "propose", "-json", t.file(file))...)
		if err != nil {
			return err
		}
		if err := json.Unmarshal([]byte(out), &proposed); err != nil {
			return err
		}
		digests[name] = proposed.Digest
		signer := other[name]
		if err := t.steps(ctx, t.as(signer, 2, "bundle", "sign", "-signer", signer, "-key", t.file(signer+".key"), "ratins", "2", proposed.Digest)); err != nil {
			return err
		}
	}
	t.say("Ilze accepts first; Janis is told who won, and nothing of his is in force")
	if err := t.steps(ctx, t.as("ilze", 2, "bundle", "accept", "ratins", "2", digests["ilze"])); err != nil {
		return err
	}
	if _, err := t.run(ctx, mtcommand.ExitRefused, t.as("janis", 2, "bundle", "accept", "ratins", "2", digests["janis"])...); err != nil {
		return err
	}
	return t.everywhere(ctx, 2)
}

// rollback puts the text of version 1 in force again, as version 3.
func (t *tour) rollback(ctx context.Context) error {
	t.say("A rollback is a new, higher version with the former text")
	err := t.steps(ctx,
		t.as("ilze", 2, "bundle", "propose", "-rollback", "1", "ratins"),
		t.as("janis", 2, "bundle", "sign", "-signer", "janis", "-key", t.file("janis.key"), "ratins", "3"),
		t.as("ilze", 2, "bundle", "accept", "-wait", "10s", "ratins", "3"),
		t.as("ilze", 2, "bundle", "history", "ratins"),
	)
	if err != nil {
		return err
	}
	return t.everywhere(ctx, 3)
}

// drain takes a daemon out of service while callers send.
func (t *tour) drain(ctx context.Context) error {
	caller := t.members[0].settings.Caller
	err := t.wait(ctx, "an answer for every key", func() (bool, error) {
		for i := range 50 {
			if send(caller, fmt.Sprintf("hotel-%d", i)) != "answered" {
				return false, nil
			}
		}
		return true, nil
	})
	if err != nil {
		return err
	}
	leaver := t.members[size-1].settings.Name
	t.say("%s is taken out of service while callers keep sending", leaver)
	err = t.steps(ctx, t.as("ilze", 2, "show", "owner", "ratins/dispatch", "hotel-7"), t.as("ilze", 2, "show", "roster"))
	if err != nil {
		return err
	}
	sending := startCallers(caller)
	defer sending.stop()
	if err := t.steps(ctx, t.as("ilze", 1, "drain", string(leaver))); err != nil {
		return err
	}
	began := time.Now()
	err = t.wait(ctx, "the drained daemon to own nothing", func() (bool, error) {
		var shards []mtadmin.ShardDocument
		err := t.ask(ctx, &shards, 2, "show", "assignment", "ratins/dispatch")
		for _, shard := range shards {
			if shard.Owner == leaver {
				return false, err
			}
		}
		return len(shards) > 0, err
	})
	if err != nil {
		return err
	}
	took := time.Since(began).Round(pollEvery)
	sending.stop()
	t.say("It owns nothing after %s; callers meanwhile: %d answered, %d not run, %d unknown",
		took, sending.answered.Load(), sending.refused.Load(), sending.unknown.Load())
	if n := sending.unknown.Load(); n > 0 {
		return &LostError{Unknown: n}
	}
	return t.steps(ctx, t.as("ilze", 2, "show", "roster"))
}

// ask runs a command with -json, without printing, and reads what it prints.
func (t *tour) ask(ctx context.Context, into any, words int, args ...string) error {
	command := t.as("ilze", words, args...)
	command = append(command[:words:words], append([]string{"-json"}, command[words:]...)...)
	out, err := t.quiet(ctx, command...)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(out), into)
}

// wait polls until done. A command that fails meanwhile is tried again.
func (t *tour) wait(ctx context.Context, what string, done func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	var last error
	for {
		ok, err := done()
		if ok && err == nil {
			return nil
		}
		last = err
		select {
		case <-ctx.Done():
			if last != nil {
				return last
			}
			return &WaitError{What: what}
		case <-time.After(pollEvery):
		}
	}
}
