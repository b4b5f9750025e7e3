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

// credentialSet provides the transport credentials of this daemon. Without keys
// in the settings, tls is nil and the transport is plaintext.
type credentialSet struct {
	tls *mttls.Credentials
}

// datagramSecrets returns the shared secrets that authenticate datagrams, newest first.
func (c *credentialSet) datagramSecrets() [][]byte {
	if c.tls == nil {
		return [][]byte{insecureSecret}
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

// insecureSecret authenticates datagrams between daemons without keys, which run in
// one process or on loopback only. It guards against misconfiguration, not
// against attackers.
var insecureSecret = []byte("magnoliaturn without credentials")

func (d *Daemon) addKeys() error {
	if d.config.Settings.Keys.Certificate == "" {
		return mtkernel.Register(d.kernel, NameKeys, &credentialSet{}, nil)
	}
	opened, cleanUp, err := mttls.Open(d.config.Settings.Keys, func(err error) {
		d.config.Log.Error("reloading the credentials failed", "error", err)
	})
	if err != nil {
		return err
	}
	return mtkernel.Register(d.kernel, NameKeys, &credentialSet{tls: opened}, cleanUp)
}

// snapshotView adapts the copy of the live state to the interfaces of the services.
// Each method reads the current snapshot.
type snapshotView struct{ *mtview.View }

func (v snapshotView) Roster() []*mtroster.Record { return v.Snapshot().Roster() }

func (v snapshotView) Record(d mtid.Daemon) (*mtroster.Record, mtid.Version, bool) {
	return v.Snapshot().Record(d)
}

func (v snapshotView) Frontier() mtid.Revision { return v.Snapshot().Frontier() }

func (v snapshotView) Table(ref mtid.Ref, chunk int) (*mtshard.Table, bool) {
	return v.Snapshot().Table(ref, chunk)
}

func (v snapshotView) Bundles() []*mtbundle.Bundle { return v.Snapshot().Bundles() }

// Tables returns all chunks of all services that this daemon has received.
func (v snapshotView) Tables() []*mtshard.Table {
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
	renewer, cleanUp, err := mtrenew.New(mtrenew.Config{
		Self:       d.config.Settings.Name,
		Listen:     d.config.Settings.Renew,
		Secrets:    mtkernel.MustLookup[*credentialSet](d.kernel, NameKeys).datagramSecrets,
		Clock:      mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock),
		View:       snapshotView{mtkernel.MustLookup[*mtview.View](d.kernel, NameView)},
		OnFrontier: d.frontierHint(),
		Log:        d.config.Log,
	})
	if err != nil {
		return err
	}
	mtkernel.MustLookup[*mtsync.Sync](d.kernel, NameSync).OnChange(func(names []string) {
		if slices.ContainsFunc(names, affectsRouting) {
			renewer.NotifyPeers()
		}
	})
	clock := mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock)
	mtkernel.MustLookup[*mtserver.Pool](d.kernel, NameServers).SetLeaseEnd(func() int64 {
		return clock.Boot() + int64(renewer.Until().Add(-mtowner.LeaseMargin).Sub(clock.Now()))
	})
	return mtkernel.Register(d.kernel, NameRenew, renewer, cleanUp)
}

// affectsRouting reports whether a change of the value affects the routing of requests,
// so that peers are notified at once. Roster records change more often and matter
// to daemons only.
func affectsRouting(name string) bool {
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
		View:  snapshotView{mtkernel.MustLookup[*mtview.View](d.kernel, NameView)},
		Lease: mtkernel.MustLookup[*mtrenew.Renewer](d.kernel, NameRenew),
		Clock: mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock),
		Dial: func(address string) (grpc.ClientConnInterface, error) {
			return relay.Conn(address)
		},
		Registered: func(h mtid.Holder) { d.config.Log.Info("registered", "holder", h.String()) },
		OnEntry:    d.applyWrite,
		Log:        d.config.Log,
	})
	return mtkernel.Register(d.kernel, NameMember, member, cleanUp)
}

// applyWrite applies a value that this daemon wrote, or read outside a watch, to its
// copy of the live state.
func (d *Daemon) applyWrite(e mtstore.Entry) {
	item := mtview.Item{Name: e.Name, Version: e.Version, Value: e.Value}
	if _, err := mtkernel.MustLookup[*mtview.View](d.kernel, NameView).ApplyWrite(item); err != nil {
		d.config.Log.Debug("value from the store can't be applied to the live state", "error", err)
	}
	mtkernel.MustLookup[*mtsync.Sync](d.kernel, NameSync).Refresh()
}

// publishOffers publishes the offers of the backend servers after one has joined,
// left or changed. It needs NameMember, which is registered by then: servers can
// announce themselves only once the listeners are open, and these start last.
func (d *Daemon) publishOffers() {
	mtkernel.MustLookup[*mtmember.Member](d.kernel, NameMember).SetOffers(mtkernel.MustLookup[*mtserver.Pool](d.kernel, NameServers).Offers())
}

// enterState sets the state of this daemon's record and waits until the live state
// contains it or ctx is done.
func (d *Daemon) enterState(ctx context.Context, state mtroster.State) {
	mtkernel.MustLookup[*mtmember.Member](d.kernel, NameMember).SetState(state)
	ticker := time.NewTicker(recordPollInterval)
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

// recordPollInterval is how often a shutdown checks whether its record was written.
const recordPollInterval = 20 * time.Millisecond

// addPlanner starts the planner, and the reporter that sends load reports to the
// daemon that plans for each service.
func (d *Daemon) addPlanner() error {
	clock := mtkernel.MustLookup[*mttime.Clock](d.kernel, NameClock)
	config := mtplanner.Config{
		Self:       d.Self,
		NewWriteID: d.NewWriteID,
		Now:        clock.Now,
		Log:        d.config.Log,
		ObserveRound: func(ref mtid.Ref, state *mtplan.State) {
			mtkernel.MustLookup[*serviceStats](d.kernel, NameServiceStats).setPlannedLoads(clock.Now(), ref, state)
		},
	}
	view := snapshotView{mtkernel.MustLookup[*mtview.View](d.kernel, NameView)}
	planner, stopPlanner, err := mtplanner.New(config, view, mtkernel.MustLookup[mtstore.Store](d.kernel, NameStore), mtkernel.MustLookup[*mtmover.Mover](d.kernel, NameMover))
	if err != nil {
		return err
	}
	link := reportSender{view: view, relay: mtkernel.MustLookup[*mtrelay.Client](d.kernel, NameRelay)}
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

// reportSender sends load reports to the daemon that plans for a service.
type reportSender struct {
	view  snapshotView
	relay *mtrelay.Client
}

// Report implements mtplanner.ReportSender.
func (l reportSender) Report(ctx context.Context, to mtid.Holder, report *mtwire.LoadReport) (*mtwire.LoadReply, error) {
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
