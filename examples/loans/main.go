// Command loans runs the machinery loan deployment of Bern in one process, with
// three availability zones, four loan-desk servers and five machinery-registry
// servers. Callers send balance lookups, payments, valuations, collateral checks
// and archive lookups through every daemon while a shard moves and a VM is killed.
// The exit code is 0 only if the audit finds no violated guarantee.
//
// # Usage
//
//	go run ./examples/loans
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"magnoliaturn/core/mtid"
	"magnoliaturn/examples/bundles"
	"magnoliaturn/io/mtfleet"
	"magnoliaturn/io/mtstandin"
)

func main() {
	// The simulated servers log failed connections until their daemon listens.
	slog.SetDefault(slog.New(slog.DiscardHandler))
	err := mtfleet.Run(context.Background(), mtfleet.Deployment{
		Business: "bundesamt",
		Bundle:   bundles.Bundesamt,
		Region:   "bern",
		Zones:    []mtid.Zone{"bern-a", "bern-b", "bern-c"},
		Duration: 9 * time.Second,
		Services: []mtfleet.Service{
			{
				Name: "loan-desk", Instances: 4, Slots: 9, Connections: 110, Rate: 250, Keys: 60,
				Time: mtstandin.ServiceTime{Shape: mtstandin.Exponential, Mean: 4 * time.Millisecond},
				Classes: []mtstandin.LoadClass{
					{Name: "balance", Idempotent: true, Weight: 3, Timeout: 800 * time.Millisecond},
					{Name: "payment", Weight: 1, Timeout: 5 * time.Second, Body: 48},
				},
			},
			{
				Name: "machinery-registry", Instances: 5, Slots: 9, Connections: 110, Rate: 250, Keys: 60,
				Time: mtstandin.ServiceTime{Shape: mtstandin.Exponential, Mean: 4 * time.Millisecond},
				Classes: []mtstandin.LoadClass{
					{Name: "valuation", Idempotent: true, Weight: 2, Timeout: time.Second},
					{Name: "collateral", Idempotent: true, Weight: 2, Timeout: 600 * time.Millisecond},
					{Name: "archive", Idempotent: true, Weight: 1, Timeout: 5 * time.Second},
				},
			},
		},
	}, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "loans:", err)
		os.Exit(1)
	}
}
