//go:build !linux

package mttime

import "time"

var started = time.Now()

// boot replaces the boot-time clock on other systems, for development only: it
// counts from the start of the process, so that backend servers can't share it.
func boot() int64 { return int64(time.Since(started)) }
