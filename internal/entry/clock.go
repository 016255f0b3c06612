package entry

import (
	"os"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// bootPath is the file with the boot ID of the machine.
const bootPath = "/proc/sys/kernel/random/boot_id"

// bootID returns the boot ID, or "" if it can't be read. Without it, all
// allowances of a killed process count as spent.
func bootID(log *zap.Logger) string {
	data, err := os.ReadFile(bootPath)
	if err != nil {
		log.Warn("reading boot ID failed", zap.Error(err))
		return ""
	}
	return strings.TrimSpace(string(data))
}

// sinceBoot returns the time since boot. Unlike the monotonic clock of package
// time, it includes the time during which the machine is suspended.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // available since Linux 2.6.39
	}
	return time.Duration(t.Nano())
}
