package shard

import (
	"syscall"
	"time"
	"unsafe"
)

// clockBootTime is CLOCK_BOOTTIME, which goes on while the VM is suspended.
const clockBootTime = 7

// BootClock reads the time since boot, suspensions included.
type BootClock struct{}

// Now returns the time since boot.
func (BootClock) Now() time.Duration {
	var ts syscall.Timespec
	_, _, errno := syscall.RawSyscall(syscall.SYS_CLOCK_GETTIME, clockBootTime, uintptr(unsafe.Pointer(&ts)), 0)
	if errno != 0 {
		panic("shard: no boot-time clock: " + errno.Error())
	}
	return time.Duration(ts.Nano())
}
