package mtforward

import (
	"context"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/core/mtwire"
)

// Withdraw takes back tries of calls that were forwarded to the daemon at the address and have
// not begun. It returns how many of them waited there; they are refused in the replies to their
// Forward. Tries that arrive at the daemon in the given time are refused too. If it fails,
// nothing is known: an earlier release has no withdrawals, and the message may be lost.
func (c *Client) Withdraw(ctx context.Context, address string, tries []mtid.TryID, remember time.Duration) (int, error) {
	conn, err := c.pool.Conn(address)
	if err != nil {
		return 0, err
	}
	w := &mtwire.WithdrawRequest{RememberUs: remember.Microseconds()}
	for _, id := range tries {
		w.Tries = append(w.Tries, uint64(id))
	}
	reply, err := mtwire.NewForwarderClient(conn).Withdraw(ctx, w)
	return int(reply.GetRefused()), err
}

// Withdraw implements mtwire.ForwarderServer.
func (s *server) Withdraw(_ context.Context, w *mtwire.WithdrawRequest) (*mtwire.WithdrawReply, error) {
	if s.config.Withdraw == nil {
		return &mtwire.WithdrawReply{}, nil
	}
	tries := make([]mtid.TryID, 0, len(w.GetTries()))
	for _, id := range w.GetTries() {
		tries = append(tries, mtid.TryID(id))
	}
	return &mtwire.WithdrawReply{Refused: uint32(s.config.Withdraw(tries, micros(w.GetRememberUs())))}, nil
}
