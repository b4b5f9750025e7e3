package mtsignal

// #include <signal.h>
//
// // The dynamic linker calls it before the Go runtime starts, which leaves ignored signals ignored.
// __attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
import "C"
