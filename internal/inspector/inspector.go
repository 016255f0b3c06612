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
	// tick is the unit of processor times in the file stat. It is 10 ms on all
	// architectures that the product is built for.
	tick = 10 * time.Millisecond
	// userField and systemField are the numbers of the processor times in the
	// file stat behind the name of the program, which may hold spaces.
	userField, systemField = 11, 12
)

// Config configures an Inspector.
type Config struct {
	// Path is that of the proc file system, /proc if it is empty.
	Path string
}

// Usage is what a process has used.
type Usage struct {
	// Processor is its processor time.
	Processor time.Duration
	// Read and Written are the bytes of its system calls, those of files and
	// of connections together.
	Read, Written int64
	// Resident is its resident memory in bytes.
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

// Usage returns what a process has used so far. The error wraps fault.Missing
// if it has ended, and fault.Malformed if a file isn't as expected.
func (i *Inspector) Usage(pid int) (Usage, error) {
	var u Usage
	stat, err := i.file(pid, "stat")
	if err != nil {
		return u, err
	}
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) <= systemField {
		return u, eris.Wrapf(fault.Malformed, "process %d: stat has %d fields", pid, len(fields))
	}
	for _, f := range []int{userField, systemField} {
		ticks, err := strconv.ParseInt(fields[f], 10, 64)
		if err != nil {
			return u, eris.Wrapf(fault.Malformed, "process %d: stat: %v", pid, err)
		}
		u.Processor += time.Duration(ticks) * tick
	}
	kib := int64(0)
	if err := i.values(pid, "io", map[string]*int64{"rchar": &u.Read, "wchar": &u.Written}); err != nil {
		return u, err
	}
	err = i.values(pid, "status", map[string]*int64{"VmRSS": &kib})
	u.Resident = kib << 10
	return u, err
}

// values reads the numbers of a file with one "name: number" per line.
func (i *Inspector) values(pid int, name string, values map[string]*int64) error {
	text, err := i.file(pid, name)
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
		return eris.Wrapf(fault.Malformed, "process %d: %s has %d of %d values", pid, name, found, len(values))
	}
	return nil
}

func (i *Inspector) file(pid int, name string) ([]byte, error) {
	text, err := os.ReadFile(filepath.Join(i.cfg.Path, strconv.Itoa(pid), name))
	if err != nil {
		return nil, eris.Wrapf(fault.Missing, "process %d: %v", pid, err)
	}
	return text, nil
}
