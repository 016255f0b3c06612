package inspector

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/papayapond/papayapond/internal/fault"
)

const (
	// clockTick is the unit of CPU times in the stat file. It is 10 ms on all
	// supported architectures.
	clockTick = 10 * time.Millisecond
	// userField and systemField are the indexes of the CPU times in the stat
	// file, counted after the program name, which may contain spaces.
	userField, systemField = 11, 12
)

// Config configures an Inspector.
type Config struct {
	// Path is the mount point of the proc file system; empty selects /proc.
	Path string
}

// Usage is the resource usage of a process.
type Usage struct {
	// Processor is the CPU time, user and system together.
	Processor time.Duration
	// Read and Written are the bytes transferred by system calls, for files
	// and connections together.
	Read, Written int64
	// Resident is the resident memory in bytes.
	Resident int64
}

// Inspector reads the usage of processes.
type Inspector struct {
	cfg Config
}

// New returns an inspector.
func New(cfg Config) *Inspector {
	if cfg.Path == "" {
		cfg.Path = "/proc"
	}
	return &Inspector{cfg: cfg}
}

// Usage returns the resource usage of a process so far. The error wraps
// fault.Missing if the process has ended, and fault.Malformed if a file can't be
// parsed.
func (i *Inspector) Usage(pid int) (Usage, error) {
	var u Usage
	stat, err := i.readFile(pid, "stat")
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= systemField {
		return u, eris.Wrapf(fault.Malformed, "process %d: stat has %d fields after the name, expected more", pid, len(fields))
	}
	for _, f := range []int{userField, systemField} {
		ticks, err := strconv.ParseInt(fields[f], 10, 64)
		if err != nil {
			return u, eris.Wrapf(fault.Malformed, "process %d: stat: %v", pid, err)
		}
		u.Processor += time.Duration(ticks) * clockTick
	}
	kib := int64(0)
	if err := i.readValues(pid, "io", map[string]*int64{"rchar": &u.Read, "wchar": &u.Written}); err != nil {
		return u, err
	}
	err = i.readValues(pid, "status", map[string]*int64{"VmRSS": &kib})
	u.Resident = kib << 10
	return u, err
}

// readValues reads numbers from a file with one "name: number" per line.
func (i *Inspector) readValues(pid int, name string, values map[string]*int64) error {
	text, err := i.readFile(pid, name)
	if err != nil {
		return err
	}
	found := 0
	for line := range strings.Lines(string(text)) {
		key, value, _ := strings.Cut(line, ":")
		if target := values[key]; target != nil {
			if _, err := fmt.Sscan(value, target); err != nil {
				return eris.Wrapf(fault.Malformed, "process %d: %s: %v", pid, key, err)
			}
			found++
		}
	}
	if found < len(values) {
		return eris.Wrapf(fault.Malformed, "process %d: %s has %d of %d expected values", pid, name, found, len(values))
	}
	return nil
}

func (i *Inspector) readFile(pid int, name string) ([]byte, error) {
	text, err := os.ReadFile(filepath.Join(i.cfg.Path, strconv.Itoa(pid), name))
	if err != nil {
		return nil, eris.Wrapf(fault.Missing, "process %d: %v", pid, err)
	}
	return text, nil
}
