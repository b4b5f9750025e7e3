package mtdaemon

import (
	"context"
	"slices"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"magnoliaturn/core/mtbundle"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtkernel"
	coremember "magnoliaturn/core/mtmember"
	"magnoliaturn/core/mtplan"
	"magnoliaturn/core/mtreply"
	"magnoliaturn/core/mtroster"
	"magnoliaturn/core/mtshard"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/core/mtview"
	"magnoliaturn/core/mtwire"
	"magnoliaturn/io/mtmember"
	"magnoliaturn/io/mtmover"
	"magnoliaturn/io/mtowner"
	"magnoliaturn/io/mtplanner"
	"magnoliaturn/io/mtrelay"
	"magnoliaturn/io/mtrenew"
	"magnoliaturn/io/mtserver"
	iostore "magnoliaturn/io/mtstore"
	"magnoliaturn/io/mtsync"
	"magnoliaturn/io/mttime"
	"magnoliaturn/io/mttls"
)

func (d *Daemon) addStore() error {
	if d.config.Store != nil {
		return mtkernel.Register(d.kernel, NameStore, d.config.Store, nil)
	}
	client, cleanUp, err := iostore.NewClient(d.config.Settings.Store, storeTimeout)
	if err != nil {
		return err
	}
	return mtkernel.Register[mtstore.Store](d.kernel, NameStore, client, cleanUp)
}

// credentialSet is what this daemon shows to others, or plain transport where
// the settings name no keys.
type credentialSet struct {
	tls *mttls.Credentials
}

// secrets returns what authenticates datagrams, the newest first.
func (c *credentialSet) secrets() [][]byte {
	if c.tls == nil {
		return [][]byte{plainSecret}
	}
	return c.tls.SecretBytes()
}

func (c *credentialSet) client() credentials.TransportCredentials {
	if c.tls == nil {
		return insecure.NewCredentials()
	}
	return c.tls.Client()
}

func (c *credentialSet) server() credentials.TransportCredentials {
	if c.tls == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(c.tls.Server())
}

// plainSecret authenticates datagrams of daemons without keys, which run in
// one process or on loopback only. It keeps out mistakes, not attackers.
var plainSecret = []byte("magnoliaturn without credentials")

func (d *Daemon) addKeys() error {
	if d.config.Settings.Keys.Certificate == "" {
		return mtkernel.Register(d.kernel, NameKeys, &credentialSet{}, nil)
	}
	opened, cleanUp, err := mttls.Open(d.config.Settings.Keys, func(err error) {
		d.config.Log.Error("credentials can't be read again", "error", err)
	})
	if err != nil {
		return err
	}
	return mtkernel.Register(d.kernel, NameKeys, &credentialSet{tls: opened}, cleanUp)
}

// liveView is the copy of the live state in the form that the duties ask for.
type liveView struct{ *mtview.View }

func (v liveView) Roster() []*mtroster.Record { return v.Snapshot().Roster() }

func (v liveView) Record(d mtid.Daemon) (*mtroster.Record, mtid.Version, bool) {
	return v.Snapshot().Record(d)
}

func (v liveView) Frontier() mtid.Revision { return v.Snapshot().Frontier() }

func (v liveView) Table(ref mtid.Ref, chunk int) (*mtshard.Table, bool) {
	return v.Snapshot().Table(ref, chunk)
}

func (v liveView) Bundles() []*mtbundle.Bundle { return v.Snapshot().Bundles() }

// Tables returns every known chunk of every service.
func (v liveView) Tables() []*mtshard.Table {
	var out []*mtshard.Table
	s := v.Snapshot()
	for _, ref := range s.Services() {
		for _, table := range s.Tables(ref) {
			if table != nil {
				out = append(out, table)
			}
		}
	}
	return out
}

func (d *Daemon) addRenew() error {
	duty, cleanUp, err := mtrenew.New(mtrenew.Config{
		Self:       d.config.Settings.Name,
		Listen:     d.config.Settings.Renew,
		Secrets:    mtkernel.MustLookup[*credentialSet](d.kernel, NameKeys).secrets,
		Clock:      mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock),
		View:       liveView{mtkernel.MustLookup[*mtview.View](d.kernel, NameView)},
		OnFrontier: d.listener(),
		Log:        d.config.Log,
	})
	if err != nil {
		return err
	}
	mtkernel.MustLookup[*mtsync.Sync](d.kernel, NameSync).OnChange(func(names []string) {
		if slices.ContainsFunc(names, urgent) {
			duty.NotifyPeers()
		}
	})
	clock := mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock)
	mtkernel.MustLookup[*mtserver.Pool](d.kernel, NameServers).Grant(func() int64 {
		return clock.Boot() + int64(duty.Until().Add(-mtowner.Margin).Sub(clock.Now()))
	})
	return mtkernel.Register(d.kernel, NameRenew, duty, cleanUp)
}

// urgent reports whether callers wait for the change of a value. Records change
// more often, and only the daemons themselves go by them.
func urgent(name string) bool {
	return strings.HasPrefix(name, mtstore.ShardPrefix) || strings.HasPrefix(name, mtstore.BundlePrefix)
}

func (d *Daemon) addMember() error {
	s, at := d.config.Settings, d.Addresses()
	relay := mtkernel.MustLookup[*mtrelay.Client](d.kernel, NameRelay)
	member, cleanUp := mtmember.New(mtmember.Config{
		Profile: coremember.Profile{
			Daemon: s.Name, Zone: s.Zone, Region: s.Region,
			RelayAddress: at.Relay, RenewAddress: at.Renew, CallerAddress: at.Caller, AdminAddress: at.Admin,
		},
		Store: mtkernel.MustLookup[mtstore.Store](d.kernel, NameStore),
		View:  liveView{mtkernel.MustLookup[*mtview.View](d.kernel, NameView)},
		Lease: mtkernel.MustLookup[*mtrenew.Renewer](d.kernel, NameRenew),
		Clock: mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock),
		Dial: func(address string) (grpc.ClientConnInterface, error) {
			return relay.Conn(address)
		},
		Registered: func(h mtid.Holder) { d.config.Log.Info("registered", "holder", h.String()) },
		OnEntry:    d.wrote,
		Log:        d.config.Log,
	})
	return mtkernel.Register(d.kernel, NameMember, member, cleanUp)
}

// wrote takes in a value that this daemon wrote or read outside a watch.
func (d *Daemon) wrote(e mtstore.Entry) {
	item := mtview.Item{Name: e.Name, Version: e.Version, Value: e.Value}
	if _, err := mtkernel.MustLookup[*mtview.View](d.kernel, NameView).ApplyWrite(item); err != nil {
		d.config.Log.Debug("value does not follow the known one", "error", err)
	}
	mtkernel.MustLookup[*mtsync.Sync](d.kernel, NameSync).Refresh()
}

// offersChanged is called when a backend server joins, leaves or changes. None
// can before the listeners are open, which come last.
func (d *Daemon) offersChanged() {
	mtkernel.MustLookup[*mtmember.Member](d.kernel, NameMember).SetOffers(mtkernel.MustLookup[*mtserver.Pool](d.kernel, NameServers).Offers())
}

// enter makes the record say a state, and waits until it does or ctx is done.
func (d *Daemon) enter(ctx context.Context, state mtroster.State) {
	mtkernel.MustLookup[*mtmember.Member](d.kernel, NameMember).SetState(state)
	ticker := time.NewTicker(enterPoll)
	defer ticker.Stop()
	for {
		record, _, ok := mtkernel.MustLookup[*mtview.View](d.kernel, NameView).Snapshot().Record(d.config.Settings.Name)
		if !ok || record.State == state {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// enterPoll is how often a shutdown looks whether its record was written.
const enterPoll = 20 * time.Millisecond

// addPlanner starts the duty that plans, and the one that reports to whoever
// does.
func (d *Daemon) addPlanner() error {
	clock := mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock)
	config := mtplanner.Config{
		Self:       d.Self,
		NewWriteID: d.Stamp,
		Now:        clock.Now,
		Log:        d.config.Log,
		ObserveRound: func(ref mtid.Ref, state *mtplan.State) {
			mtkernel.MustLookup[*figures](d.kernel, NameFigures).planned(clock.Now(), ref, state)
		},
	}
	view := liveView{mtkernel.MustLookup[*mtview.View](d.kernel, NameView)}
	planner, stopPlanner, err := mtplanner.New(config, view, mtkernel.MustLookup[mtstore.Store](d.kernel, NameStore), mtkernel.MustLookup[*mtmover.Mover](d.kernel, NameMover))
	if err != nil {
		return err
	}
	link := loadLink{view: view, relay: mtkernel.MustLookup[*mtrelay.Client](d.kernel, NameRelay)}
	stopReporter, err := mtplanner.NewReporter(config, view, mtkernel.MustLookup[*mtowner.Owner](d.kernel, NameOwner), link, planner)
	if err != nil {
		stopPlanner()
		return err
	}
	return mtkernel.Register(d.kernel, NamePlanner, planner, func() {
		stopReporter()
		stopPlanner()
	})
}

// loadLink carries reports of load to the daemon that plans.
type loadLink struct {
	view  liveView
	relay *mtrelay.Client
}

// Report implements mtplanner.ReportSender.
func (l loadLink) Report(ctx context.Context, to mtid.Holder, report *mtwire.LoadReport) (*mtwire.LoadReply, error) {
	record, _, ok := l.view.Record(to.Daemon)
	if !ok || record.Holder != to {
		return nil, &mtreply.RefusedError{Cause: mtreply.CauseUnreachable, Detail: to.String() + " is not in the roster"}
	}
	conn, err := l.relay.Conn(record.RelayAddress)
	if err != nil {
		return nil, err
	}
	return mtwire.NewPlannerClient(conn).Report(ctx, report)
}
