package mtdirectory

import (
	"context"
	"errors"
	"slices"
	"time"

	"magnoliaturn/core/mtclock"
	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtpoison"
	"magnoliaturn/core/mtstore"
)

// PublishLoss publishes the loss of a backend server. It is written in the background, before any
// record that is published later: who takes over the keys of the server because of that record
// knows which requests were in flight.
func (d *Directory) PublishLoss(l mtpoison.Loss) { d.publisher.publishLoss(l) }

// LossPending reports whether a loss that this daemon has published is not in the store yet.
func (d *Directory) LossPending(id mtpoison.LossID) bool {
	d.publisher.mu.Lock()
	defer d.publisher.mu.Unlock()
	return slices.ContainsFunc(d.publisher.losses, func(l *pendingLoss) bool { return l.loss.ID == id })
}

// applyLossEntry passes on a loss. Nothing is passed on when an entry expires: those who know the
// loss count its age themselves. It fails if no daemon wrote the entry.
func (d *Directory) applyLossEntry(e mtstore.Entry) error {
	if e.Version == 0 {
		return nil
	}
	loss, err := mtpoison.DecodeLoss(e.Value)
	if err == nil && mtstore.LossName(loss.ID) != e.Name {
		err = &MisplacedError{Name: e.Name, Proper: mtstore.LossName(loss.ID)}
	}
	if err != nil {
		return err
	}
	if d.OnLoss != nil {
		d.OnLoss(loss)
	}
	return nil
}

// pendingLoss is a loss that the store may not contain yet.
type pendingLoss struct {
	loss  mtpoison.Loss
	lease mtstore.LeaseID // empty until it is granted
}

// writtenLoss is a loss that the store has contained.
type writtenLoss struct {
	loss mtpoison.Loss
	at   mtclock.Instant
}

// rewriteLosses has the losses written again that the store may have lost with an era.
func (p *publisher) rewriteLosses(now mtclock.Instant) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.writtenLosses {
		if now.Sub(w.at) < mtpoison.LossTTL {
			p.losses = append(p.losses, &pendingLoss{loss: w.loss})
		}
	}
	p.writtenLosses = nil
	p.losses = p.losses[max(len(p.losses)-maxPendingLosses, 0):]
}

// maxPendingLosses is the number of losses that wait for the store, the newest ones.
const maxPendingLosses = 64

// publishLoss adds a loss to those to write.
func (p *publisher) publishLoss(l mtpoison.Loss) {
	p.mu.Lock()
	p.losses = append(p.losses, &pendingLoss{loss: l})
	if len(p.losses) > maxPendingLosses {
		p.Log.Error("loss of a server is not published: too many wait for the store", "loss", p.losses[0].loss.ID.String())
		p.losses = p.losses[1:]
	}
	p.mu.Unlock()
	p.runNow()
}

// lossesTime is how long losses are written before the record is maintained again: while the store is
// slow, the lease must not expire meanwhile.
const lossesTime = 150 * time.Millisecond

// writeLosses writes the pending losses, oldest first, and reports whether none is left. If that takes long
// while the record stands, it leaves some to the next step.
func (p *publisher) writeLosses(ctx context.Context) (done bool, _ error) {
	for end := p.Clock.Now().Add(lossesTime); ; {
		p.mu.Lock()
		if len(p.losses) == 0 {
			p.mu.Unlock()
			return true, nil
		}
		if p.stands() && p.Clock.Now().After(end) {
			p.mu.Unlock()
			return false, nil
		}
		first := p.losses[0]
		p.mu.Unlock()
		if err := p.writeLoss(ctx, first); err != nil {
			return false, err
		}
		p.mu.Lock()
		if len(p.losses) > 0 && p.losses[0] == first {
			p.losses = p.losses[1:]
		}
		p.writtenLosses = append(p.writtenLosses, writtenLoss{loss: first.loss, at: p.Clock.Now()})
		p.writtenLosses = p.writtenLosses[max(len(p.writtenLosses)-maxPendingLosses, 0):]
		p.mu.Unlock()
	}
}

// writeLoss writes one loss. It succeeds if the store contains it already, or will never accept
// it: the record must not wait for that.
func (p *publisher) writeLoss(ctx context.Context, l *pendingLoss) error {
	value, err := l.loss.Encode()
	if err != nil {
		return err
	}
	if l.lease == "" {
		l.lease, err = inTime(ctx, func(ctx context.Context) (mtstore.LeaseID, error) { return p.Store.Grant(ctx, mtpoison.LossTTL) })
		if err != nil {
			return err
		}
	}
	_, err = inTime(ctx, func(ctx context.Context) (mtid.Version, error) {
		return p.Store.Swap(ctx, mtstore.LossName(l.loss.ID), 0, value, l.lease)
	})
	var conflict *mtstore.ConflictError
	var rejected *mtstore.RejectedError
	var expired *mtstore.LeaseExpiredError
	switch {
	case errors.As(err, &conflict):
		return nil
	case errors.As(err, &rejected):
		p.Log.Error("loss of a server is not published", "loss", l.loss.ID.String(), "error", err)
		return nil
	case errors.As(err, &expired):
		l.lease = ""
	}
	return err
}
