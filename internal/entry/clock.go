package entry

import (
	"os"
	"strings"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"
)

// bootPath names the file with the identity of the boot of the machine.
const bootPath = "/proc/sys/kernel/random/boot_id"

// boot returns the identity of the boot, or "" if it can't be read. Without it
// the allowances of a process that was killed count as spent.
func boot(log *zap.Logger) string {
	data, err := os.ReadFile(bootPath)
	if err != nil {
		log.Warn("Boot can't be identified.", zap.Error(err))
		return ""
	}
	return strings.TrimSpace(string(data))
}

// sinceBoot returns the time since the boot. It goes on while the machine is
// suspended, unlike the clock of package time.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(err) // Linux has the clock since 2.6.39
	}
	return time.Duration(t.Nano())
}
