// Command hotel runs the hotel robot deployment of Riga in one process, with four
// availability zones, five dispatch servers and six mapsvc servers. Callers send
// status checks, send orders and floor plan reads through every daemon while a
// shard moves and a VM is killed. The exit code is 0 only if the audit finds no
// violated guarantee.
//
// # Usage
//
//	go run ./examples/hotel
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
		Business: "ratins",
		Bundle:   bundles.Ratins,
		Region:   "riga",
		Zones:    []mtid.Zone{"old-town", "centrs", "kipsala", "airport"},
		Duration: 9 * time.Second,
		Services: []mtfleet.Service{
			{
				Name: "dispatch", Instances: 5, Slots: 12, Connections: 130, Rate: 300, Keys: 40,
				Time: mtstandin.ServiceTime{Shape: mtstandin.Exponential, Mean: 4 * time.Millisecond},
				Classes: []mtstandin.LoadClass{
					{Name: "status", Idempotent: true, Weight: 4, Timeout: 400 * time.Millisecond},
					{Name: "send", Weight: 1, Timeout: 3 * time.Second, Body: 32},
				},
			},
			{
				Name: "mapsvc", Instances: 6, Slots: 12, Connections: 130, Rate: 300, Keys: 40,
				Time: mtstandin.ServiceTime{Shape: mtstandin.Exponential, Mean: 3 * time.Millisecond},
				Classes: []mtstandin.LoadClass{
					{Name: "floorplan", Idempotent: true, Weight: 3, Timeout: 800 * time.Millisecond},
					{Name: "lift", Idempotent: true, Weight: 1, Timeout: 500 * time.Millisecond},
				},
			},
		},
	}, os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "hotel:", err)
		os.Exit(1)
	}
}
