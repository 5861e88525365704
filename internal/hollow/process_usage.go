package hollow

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// processUsage is the resource usage of a process since its start, and its open sockets.
type processUsage struct {
	cpu          time.Duration // user and system time
	peakRSSKB    int64         // peak resident set size in KiB
	readBytes    int64         // by read calls, including sockets
	writtenBytes int64         // by write calls, including sockets
	sockets      int           // currently open
}

// clockTick is the unit of CPU times in /proc/PID/stat: USER_HZ is 100 on all common Linux builds.
const clockTick = 10 * time.Millisecond

// readUsage reads the usage of a process from /proc. It fails if the CPU times cannot be read;
// other values that cannot be read are 0.
func readUsage(pid int) (processUsage, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	var used processUsage
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return used, err
	}
	// The command name, the second field, is in parentheses and may contain spaces. User and system
	// time are the 14th and 15th fields: the 12th and 13th after the name.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 13 {
		return used, fmt.Errorf("%s/stat: got %d fields after the command name, want at least 13", dir, len(fields))
	}
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return used, err
		}
		used.cpu += time.Duration(ticks) * clockTick
	}
	used.peakRSSKB = readField(dir+"/status", "VmHWM:")
	used.readBytes = readField(dir+"/io", "rchar:")
	used.writtenBytes = readField(dir+"/io", "wchar:")
	used.sockets = countSockets(dir + "/fd")
	return used, nil
}

// readField returns the number that follows a field name in a file; 0 if there is none.
func readField(path, name string) int64 {
	data, err := os.ReadFile(path)
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			number, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
			value, err := strconv.ParseInt(number, 10, 64)
			if err != nil {
				return 0
			}
			return value
		}
	}
	return 0
}

// countSockets counts the sockets in a /proc/PID/fd directory; 0 if the directory cannot be read.
func countSockets(dir string) int {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0
	}
	count := 0
	for _, entry := range entries {
		if target, err := os.Readlink(dir + "/" + entry.Name()); err == nil && strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// runPhase is a phase of a run.
type runPhase int

const (
	warmUp runPhase = iota
	steady          // from steadyFraction of the run on; steady-state means cover this phase only
)

// processMeter accumulates the resource usage of a controller's successive processes, or of this
// process.
type processMeter struct {
	pid        int // of the process of the last sample
	lastSample processUsage
	lastAt     time.Time

	total     processUsage // over all processes; the sum, but the maximum of peak memory and sockets
	seconds   float64      // time between consecutive samples of the same process
	peakCores float64      // highest mean between two consecutive samples

	// CPU time and time between samples in the steady phase.
	steadyCPU     time.Duration
	steadySeconds float64
}

// addSample adds a sample of a process that was taken during a phase of the run.
func (m *processMeter) addSample(pid int, sample processUsage, at time.Time, phase runPhase) {
	last, lastAt := m.lastSample, m.lastAt
	if pid != m.pid {
		last, lastAt = processUsage{}, at
		m.pid = pid
	}
	cpu := sample.cpu - last.cpu
	m.total.cpu += cpu
	m.total.readBytes += sample.readBytes - last.readBytes
	m.total.writtenBytes += sample.writtenBytes - last.writtenBytes
	m.total.peakRSSKB = max(m.total.peakRSSKB, sample.peakRSSKB)
	m.total.sockets = max(m.total.sockets, sample.sockets)
	if elapsed := at.Sub(lastAt).Seconds(); elapsed > 0 {
		m.seconds += elapsed
		m.peakCores = max(m.peakCores, cpu.Seconds()/elapsed)
		if phase == steady {
			m.steadyCPU += cpu
			m.steadySeconds += elapsed
		}
	}
	m.lastSample, m.lastAt = sample, at
}

// cores returns the mean number of cores used over the run.
func (m *processMeter) cores() float64 { return perSecond(m.total.cpu.Seconds(), m.seconds) }

// steadyCores returns the mean number of cores used in the steady phase.
func (m *processMeter) steadyCores() float64 {
	return perSecond(m.steadyCPU.Seconds(), m.steadySeconds)
}

// perSecond returns the value per second; 0 if no time has passed.
func perSecond(value, seconds float64) float64 {
	if seconds <= 0 {
		return 0
	}
	return value / seconds
}
