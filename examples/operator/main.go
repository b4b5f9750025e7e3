// Command operator demonstrates the operator commands in one process: it creates
// credentials, proposes an invalid bundle, puts a valid one in force, lets two
// operators compete for the next version, rolls back, and drains a daemon while
// callers keep sending.
//
// # Usage
//
//	go run ./examples/operator
//
// It runs four daemons on loopback addresses with TLS, an in-memory replacement
// of the platform's store, and four simulated backend servers. The commands that it
// prints are those of the magnoliaturn program and run in this process.
package main

import (
	"context"
	"fmt"
	"os"
)

func main() {
	dir, err := os.MkdirTemp("", "magnoliaturn")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	defer os.RemoveAll(dir)
	if err := run(context.Background(), os.Stdout, dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.RemoveAll(dir)
		os.Exit(1)
	}
}
