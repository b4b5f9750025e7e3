//go:build !linux

package mttime

import "time"

var started = time.Now()

// boot stands in for the boot-time clock where there is none, for development
// only: it counts from the start of the process and backend servers can't
// share it.
func boot() int64 { return int64(time.Since(started)) }
