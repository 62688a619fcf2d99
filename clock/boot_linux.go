// Package clock reads the boot-time clock, which package time does not provide, and
// offers a sleep that ends early when its context is cancelled.
//
// # Usage
//
//	began := clock.Boot{}.Now()
//	...
//	elapsed := clock.Boot{}.Now() - began // includes the time while the VM was suspended
package clock

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBootTime is CLOCK_BOOTTIME, which continues while the VM is suspended.
const clockBootTime = 7

// Boot is a clock that reads the time since boot, including the time while the VM
// was suspended.
type Boot struct{}

// Now returns the time since boot.
func (Boot) Now() time.Duration {
	var ts syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBootTime, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		panic("clock: cannot read CLOCK_BOOTTIME: " + errno.Error())
	}
	return time.Duration(ts.Nano())
}
