// Command operator goes the way of a new operator in one process: it makes
// credentials, has a faulty bundle refused, puts a good one in force, loses a
// race for the next version and takes a daemon out of service while callers
// keep sending.
//
// # Usage
//
//	go run ./examples/operator
//
// It runs four daemons on loopback addresses with TLS, a stand-in for the
// platform's store in memory, and four stand-ins for backend servers. The
// commands that it prints are those of the program magnoliaturn, run in this
// process.
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
