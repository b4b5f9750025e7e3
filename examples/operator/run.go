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

// Timeout and interval for polling a condition.
const (
	waitTimeout  = 30 * time.Second
	pollInterval = 100 * time.Millisecond
)

const daemonCount = 4

var zones = [daemonCount]mtid.Zone{"old-town", "centrs", "kipsala", "airport"}

// WaitError reports that a condition was not met before the timeout.
type WaitError struct{ What string }

// Error implements error.
func (e *WaitError) Error() string { return "waited in vain for " + e.What }

// UnknownOutcomeError reports that callers got no definite outcome for some requests.
type UnknownOutcomeError struct{ Unknown int64 }

// Error implements error.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%d requests ended with an unknown outcome", e.Unknown)
}

// tour is one run of the example and the deployment that it sets up.
type tour struct {
	*shell
	store   *mtstore.Memory
	vms     []*vm
	signers string // the [signer] sections of bundles
}

// run executes all steps of the example. dir is an empty directory for its files.
func run(ctx context.Context, out io.Writer, dir string) error {
	t := &tour{shell: &shell{out: out, dir: dir}, store: mtstore.NewMemory(time.Now)}
	defer t.stop()
	for _, step := range []func(context.Context) error{
		t.keygen, t.start, t.proposeInvalid, t.rollOut, t.race, t.rollback, t.drain,
	} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (t *tour) stop() {
	for _, m := range t.vms {
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

// keygen creates the credentials of the daemons, two signers and two operators.
func (t *tour) keygen(ctx context.Context) error {
	t.heading("Credentials of the daemons")
	t.authority = t.file("authority.crt")
	err := t.steps(ctx,
		[]string{"keygen", "authority", t.dir},
		[]string{"keygen", "certificate", "-ip", "127.0.0.1", "daemon", t.dir},
		[]string{"keygen", "secret", t.dir},
	)
	if err != nil {
		return err
	}
	t.heading("Two people who propose, sign and accept")
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

// start checks the settings, starts all daemons and waits until they are live.
func (t *tour) start(ctx context.Context) error {
	t.heading("Settings of the daemons, checked before the start")
	var all []*mtsetting.Settings
	for i := range daemonCount {
		settings, err := t.settings(ctx, i, all)
		if err != nil {
			return err
		}
		all = append(all, settings)
	}
	for _, settings := range all {
		m, err := startVM(settings, t.store)
		if err != nil {
			return err
		}
		t.vms = append(t.vms, m)
	}
	t.api = "https://" + all[0].Admin
	return t.waitFor(ctx, "all daemons in the roster", func() (bool, error) {
		var roster []mtadmin.DaemonDocument
		err := t.runJSON(ctx, &roster, 2, "show", "roster")
		live := 0
		for _, d := range roster {
			if d.Live && len(d.Offers) > 0 {
				live++
			}
		}
		return live == daemonCount, err
	})
}

// settings writes, checks and loads the settings of daemon i. Daemons after the
// first use the first as seed peer.
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

// bundle returns the text of a bundle. Texts with different notes have different
// digests.
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

// proposeInvalid proposes an invalid bundle, which must be refused.
func (t *tour) proposeInvalid(ctx context.Context) error {
	t.heading("A bundle with mistakes: all are named at once, and nothing is proposed")
	text := strings.NewReplacer("kind      = keyed", "kind = sharded", "shards    = 16", "shards = none").
		Replace(t.bundle(1, "never", "with mistakes"))
	if err := t.write("bad.ini", text); err != nil {
		return err
	}
	_, err := t.run(ctx, mtcommand.ExitRefused, t.as("ilze", 2, "bundle", "propose", t.file("bad.ini"))...)
	return err
}

// rollOut proposes, signs and accepts a bundle, and waits until it is in force at all
// daemons. Signing and accepting without a second signer must be refused.
func (t *tour) rollOut(ctx context.Context) error {
	t.heading("The bundle mended: proposed by ilze, who can't sign it off alone")
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
	t.heading("Signed off by janis, and accepted")
	err = t.steps(ctx,
		t.as("janis", 2, "bundle", "sign", "-signer", "janis", "-key", t.file("janis.key"), "ratins", "1"),
		t.as("ilze", 2, "bundle", "accept", "ratins", "1"),
	)
	if err != nil {
		return err
	}
	return t.awaitInForce(ctx, 1)
}

// awaitInForce waits until a version is in force at all daemons and prints the time
// that it took.
func (t *tour) awaitInForce(ctx context.Context, version mtid.Version) error {
	started := time.Now()
	err := t.waitFor(ctx, "the bundle in force everywhere", func() (bool, error) {
		var shown struct{ Daemons []mtadmin.InForceDocument }
		err := t.runJSON(ctx, &shown, 2, "bundle", "show", "ratins")
		for _, d := range shown.Daemons {
			if d.Version != version {
				return false, err
			}
		}
		return len(shown.Daemons) == daemonCount, err
	})
	if err != nil {
		return err
	}
	t.heading("Seen in force everywhere %s after the answer to the acceptance", time.Since(started).Round(time.Millisecond))
	return t.steps(ctx, t.as("ilze", 2, "bundle", "show", "ratins"))
}

// race lets two operators propose different bundles as version 2. The second
// acceptance must be refused.
func (t *tour) race(ctx context.Context) error {
	t.heading("Ilze and Janis prepare version 2 at the same time, and sign each other's off")
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
	t.heading("Ilze accepts first; Janis is told who won, and nothing of his is in force")
	if err := t.steps(ctx, t.as("ilze", 2, "bundle", "accept", "ratins", "2", digests["ilze"])); err != nil {
		return err
	}
	if _, err := t.run(ctx, mtcommand.ExitRefused, t.as("janis", 2, "bundle", "accept", "ratins", "2", digests["janis"])...); err != nil {
		return err
	}
	return t.awaitInForce(ctx, 2)
}

// rollback puts the text of version 1 in force again as version 3.
func (t *tour) rollback(ctx context.Context) error {
	t.heading("A rollback is a new, higher version with the former text")
	err := t.steps(ctx,
		t.as("ilze", 2, "bundle", "propose", "-rollback", "1", "ratins"),
		t.as("janis", 2, "bundle", "sign", "-signer", "janis", "-key", t.file("janis.key"), "ratins", "3"),
		t.as("ilze", 2, "bundle", "accept", "-wait", "10s", "ratins", "3"),
		t.as("ilze", 2, "bundle", "history", "ratins"),
	)
	if err != nil {
		return err
	}
	return t.awaitInForce(ctx, 3)
}

// drain drains a daemon while callers send. No request may end with an unknown
// outcome.
func (t *tour) drain(ctx context.Context) error {
	caller := t.vms[0].settings.Caller
	err := t.waitFor(ctx, "an answer for every key", func() (bool, error) {
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
	drained := t.vms[daemonCount-1].settings.Name
	t.heading("%s is taken out of service while callers keep sending", drained)
	err = t.steps(ctx, t.as("ilze", 2, "show", "owner", "ratins/dispatch", "hotel-7"), t.as("ilze", 2, "show", "roster"))
	if err != nil {
		return err
	}
	sending := startCallers(caller)
	defer sending.stop()
	if err := t.steps(ctx, t.as("ilze", 1, "drain", string(drained))); err != nil {
		return err
	}
	started := time.Now()
	err = t.waitFor(ctx, "the drained daemon to own nothing", func() (bool, error) {
		var shards []mtadmin.ShardDocument
		err := t.runJSON(ctx, &shards, 2, "show", "assignment", "ratins/dispatch")
		for _, shard := range shards {
			if shard.Owner == drained {
				return false, err
			}
		}
		return len(shards) > 0, err
	})
	if err != nil {
		return err
	}
	took := time.Since(started).Round(pollInterval)
	sending.stop()
	t.heading("It owns nothing after %s; callers meanwhile: %d answered, %d not run, %d unknown",
		took, sending.answered.Load(), sending.notRun.Load(), sending.unknown.Load())
	if n := sending.unknown.Load(); n > 0 {
		return &UnknownOutcomeError{Unknown: n}
	}
	return t.steps(ctx, t.as("ilze", 2, "show", "roster"))
}

// runJSON runs a command with -json without printing it and decodes its output.
func (t *tour) runJSON(ctx context.Context, into any, words int, args ...string) error {
	command := t.as("ilze", words, args...)
	command = append(command[:words:words], append([]string{"-json"}, command[words:]...)...)
	out, err := t.runSilently(ctx, command...)
	if err != nil {
		return err
	}
	return json.Unmarshal([]byte(out), into)
}

// waitFor polls until done reports true, and retries when it returns an error.
func (t *tour) waitFor(ctx context.Context, what string, done func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
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
		case <-time.After(pollInterval):
		}
	}
}
