package mtmesh

import (
	"context"
	"time"

	"magnoliaturn/core/mtkernel"
	"magnoliaturn/core/mtspread"
	"magnoliaturn/io/mtdirectory"
	"magnoliaturn/io/mtforward"
	"magnoliaturn/io/mttime"
	"magnoliaturn/io/mtwatch"
)

// Learner lets tests hear of changes as a daemon does.
type Learner struct{ *learner }

// NewLearner returns the Learner of a daemon that goes by a fixed tree.
func NewLearner(n mtspread.Node, tree *mtspread.Tree, store mtwatch.Source, peers teachers, directory func() *mtdirectory.Directory, configured bool) Learner {
	clock := mttime.New()
	certainty := newCertainty(clock.Now(), 2*time.Second, newBeacon())
	return Learner{&learner{
		self: n.Daemon, zone: n.Zone, store: store, peers: peers, clock: clock, certainty: certainty, directory: directory,
		stirred: certainty.stirred, paused: make(map[string]time.Time), configured: func() bool { return configured },
		tree: func() *mtspread.Tree { return tree },
	}}
}

// Teach answers another daemon.
func (l Learner) Teach(ctx context.Context, q mtforward.ChangesRequest) (mtforward.ChangesReply, error) {
	return l.teach(ctx, q)
}

// HearsCertainty reports whether a daemon that knows of no configuration and of no zone out of
// service becomes certain by another one's news, which answer what was sent a moment ago.
func HearsCertainty(theirs mtforward.StateSummary) (bool, error) {
	m := &Mesh{kernel: mtkernel.New()}
	if err := m.addClock(); err != nil {
		return false, err
	}
	before := m.certainty.at()
	m.hear(theirs, m.steady())
	return m.certainty.at() > before, nil
}
