package mttime

import "golang.org/x/sys/unix"

// boot returns the nanoseconds since boot, including time in suspend. The call
// does not fail for this clock on any kernel that Go supports.
func boot() int64 {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err)
	}
	return ts.Nano()
}
