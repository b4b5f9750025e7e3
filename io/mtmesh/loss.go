package mtmesh

import (
	"context"
	"strings"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtstore"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mttime"
)

const (
	// lossWriteTime is how long the store may take to accept the loss of a server before this
	// daemon sends it to the others itself: some calls of some milliseconds.
	lossWriteTime = 200 * time.Millisecond
	// maxAbsence is how long a daemon's record may have been absent for it to be sent losses:
	// leases may expire while the store is away.
	maxAbsence = time.Minute
)

// publishLoss publishes the loss of this VM's server in the store. If the store doesn't accept it
// at once, the other daemons are sent it too. Otherwise each of them would let a request that
// crashes servers crash its own ones until the store is back.
func (m *Mesh) publishLoss(l mtpoison.Loss) {
	directory := m.directory.Load()
	directory.PublishLoss(l)
	time.AfterFunc(lossWriteTime, func() {
		if directory.LossPending(l.ID) {
			m.sendLoss(l)
		}
	})
}

// sendLoss sends a loss to all other daemons.
func (m *Mesh) sendLoss(l mtpoison.Loss) {
	value, err := l.Encode()
	if err != nil {
		m.config.Log.Error("encoding the loss of a server failed", "loss", l.ID.String(), "error", err)
		return
	}
	entry := mtstore.Entry{Name: mtstore.LossName(l.ID), Value: value}
	peers := mtkernel.MustLookup[*mtforward.Client](m.kernel, NamePeers)
	now := mtkernel.MustLookup[*mttime.Clock](m.kernel, NameClock).Steady()
	for name, member := range m.directory.Load().View().Members {
		if name == m.config.Daemon || absentTooLong(member, now) {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
			defer cancel()
			if err := peers.PushEntry(ctx, member.Address, entry); err != nil {
				m.config.Log.Info("sending the loss of a server to a daemon failed", "peer", name, "error", err)
			}
		}()
	}
}

// absentTooLong reports whether a daemon's record has been absent for too long to send it a loss,
// or was never seen.
func absentTooLong(member mtdirectory.Member, now mtclock.Instant) bool {
	return member.Address == "" || member.Expired && now.Sub(member.ExpiredSince) > maxAbsence
}

// receivePushed processes an entry that another daemon has pushed: the loss of a server, or an
// assignment.
func (m *Mesh) receivePushed(e mtstore.Entry) {
	if !strings.HasPrefix(e.Name, mtstore.LossPrefix) {
		m.directory.Load().ApplyPushedAssignment(e)
		return
	}
	loss, err := mtpoison.DecodeLoss(e.Value)
	if err != nil {
		m.config.Log.Error("loss of a server passed over", "name", e.Name, "error", err)
		return
	}
	m.losses.receive(loss)
}
