package mtforward

import (
	"context"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"magnoliaturn/core/mtid"
)

// nameHeader is a header of a request for the load: the daemon that is asked. Earlier releases neither send nor read it.
const nameHeader = "daemon-bin"

// OtherDaemonError reports that another daemon than the one that was asked answers at the address.
type OtherDaemonError struct {
	Daemon  mtid.Daemon // that was asked
	Address string
}

// Error implements error.
func (e *OtherDaemonError) Error() string {
	return fmt.Sprintf("forward: another daemon than %q answers at %s", e.Daemon, e.Address)
}

// withName returns the context of a request that names the daemon that is asked.
func withName(ctx context.Context, daemon mtid.Daemon) context.Context {
	return metadata.AppendToOutgoingContext(ctx, nameHeader, string(daemon))
}

// checkName fails if a request names another daemon than this one.
func (s *server) checkName(ctx context.Context) error {
	if s.config.Self == "" {
		return nil
	}
	for _, name := range metadata.ValueFromIncomingContext(ctx, nameHeader) {
		if mtid.Daemon(name) != s.config.Self {
			return status.Error(codes.NotFound, "this is daemon "+string(s.config.Self))
		}
	}
	return nil
}
