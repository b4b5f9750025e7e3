// Command standin provides the test programs that replace the system's
// environment: the platform's store, backend servers, callers that generate
// load, and an audit that checks the results of a run. See docs/STANDINS.md.
//
// # Usage
//
//	standin store -listen 127.0.0.1:7000
//	standin server -listen 127.0.0.1:8001 -daemon http://127.0.0.1:9001 -service ratins/dispatch -journal server.jsonl
//	standin load -targets http://127.0.0.1:9101 -service ratins/dispatch -classes send:once:1:1s:64 -records calls.jsonl
//	standin audit -journals 'server*.jsonl' -records 'calls*.jsonl'
package main

import (
	"context"
	"flag"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	_ "net/http/pprof" // served on the debug address only
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"magnoliaturn/core/mtid"
)

func main() {
	subcommands.Register(subcommands.HelpCommand(), "")
	subcommands.Register(subcommands.FlagsCommand(), "")
	subcommands.Register(&storeCommand{}, "")
	subcommands.Register(&serverCommand{}, "")
	subcommands.Register(&loadCommand{}, "")
	subcommands.Register(&auditCommand{}, "")
	subcommands.Register(&bundleCommand{}, "")
	flag.Parse()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	os.Exit(int(subcommands.Execute(ctx)))
}

// FlagError reports a flag whose value is not accepted.
type FlagError struct {
	Flag   string
	Value  string
	Accept string
}

// Error implements error.
func (e *FlagError) Error() string {
	return fmt.Sprintf("flag -%s is %q, accepted: %s", e.Flag, e.Value, e.Accept)
}

// fail prints an error and returns the exit status of a failed command.
func fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(os.Stderr, "standin:", err)
	return subcommands.ExitFailure
}

// parseService parses a service given as "business/service".
func parseService(text string) (mtid.Ref, error) {
	business, service, ok := strings.Cut(text, "/")
	if !ok || business == "" || service == "" {
		return mtid.Ref{}, &FlagError{Flag: "service", Value: text, Accept: "business/service"}
	}
	return mtid.Ref{Business: mtid.Business(business), Service: mtid.Service(service)}, nil
}

// stopTimeout is how long a stopping stand-in waits for open requests to finish.
const stopTimeout = 5 * time.Second

// listenAndServe serves handler at address until ctx ends, then waits up to
// stopTimeout for open requests to finish.
func listenAndServe(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler}
	stopped := make(chan error, 1)
	go func() {
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		stopped <- server.Shutdown(shutdownCtx)
	}()
	slog.Info("listening", "address", listener.Addr().String())
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return <-stopped
}

// serveDebug serves profiles and counters at address in the background; an empty
// address disables it.
func serveDebug(address string) {
	if address == "" {
		return
	}
	go func() {
		if err := http.ListenAndServe(address, nil); err != nil {
			slog.Error("debug listener failed", "error", err)
		}
	}()
}
