// Package mtsignal makes the process ignore SIGHUP as early as it can. The platform sends the signal
// whenever the settings have changed, which may be as soon as the process exists.
//
// # Usage
//
//	import _ "magnoliaturn/io/mtsignal"
package mtsignal

import (
	"os/signal"
	"syscall"
)

// Without cgo this is the earliest: few packages are initialized before.
func init() { signal.Ignore(syscall.SIGHUP) }
