package hollow

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// processUsage is what a process has used so far, and what it holds now.
type processUsage struct {
	cpu          time.Duration // user and system time
	peakKB       int64         // most resident memory so far, in KiB
	readBytes    int64         // of its read calls, sockets included
	writtenBytes int64         // of its write calls
	sockets      int           // open now
}

// clockTick is the unit of processor times in /proc, the same on all usual builds of Linux.
const clockTick = 10 * time.Millisecond

// readUsage reads the usage of a process from /proc. What cannot be read but its times counts as 0.
func readUsage(pid int) (processUsage, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	var used processUsage
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return used, err
	}
	// The name, in brackets, may hold spaces. The times are the 14th and 15th fields, the 12th and
	// 13th after the name.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 13 {
		return used, fmt.Errorf("%s/stat: %d fields", dir, len(fields))
	}
	for _, field := range fields[11:13] {
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return used, err
		}
		used.cpu += time.Duration(ticks) * clockTick
	}
	used.peakKB = readField(dir+"/status", "VmHWM:")
	used.readBytes = readField(dir+"/io", "rchar:")
	used.writtenBytes = readField(dir+"/io", "wchar:")
	used.sockets = countSockets(dir + "/fd")
	return used, nil
}

// readField reads the number after a name in a file; 0 if there is none.
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

// countSockets counts the sockets among the file descriptors in a directory; 0 if it cannot be read.
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

// runPhase is a part of a run.
type runPhase int

const (
	warmUp runPhase = iota
	steady          // the last part, which counts for the steady means
)

// processMeter adds up the usage of the processes of a controller, or of this process.
type processMeter struct {
	pid        int // of the last sample
	lastSample processUsage
	lastAt     time.Time

	total     processUsage // of all processes; peak memory and sockets are maxima
	seconds   float64      // between samples of the same process
	peakCores float64      // most between two samples

	// The steady means count the last part of the run only.
	steadyCPU     time.Duration
	steadySeconds float64
}

// addSample adds a sample of a process, taken in a phase of the run.
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
	m.total.peakKB = max(m.total.peakKB, sample.peakKB)
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

// cores is the mean number of cores used.
func (m *processMeter) cores() float64 { return perSecond(m.total.cpu.Seconds(), m.seconds) }

// steadyCores is the mean number of cores used over the last part of the run.
func (m *processMeter) steadyCores() float64 {
	return perSecond(m.steadyCPU.Seconds(), m.steadySeconds)
}

// perSecond divides by a number of seconds; 0 if there are none.
func perSecond(value, seconds float64) float64 {
	if seconds <= 0 {
		return 0
	}
	return value / seconds
}
