package hollow

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// processUsage is what a process has used so far, and holds now.
type processUsage struct {
	cpu          time.Duration // user and system time
	peakKB       int64         // most resident memory so far
	readBytes    int64         // bytes of its read calls, sockets included
	writtenBytes int64
	sockets      int
}

// clockTick is the unit of processor times in /proc; it is the same on all of
// Linux's usual builds.
const clockTick = 10 * time.Millisecond

// readUsage reads what a process has used from /proc.
func readUsage(pid int) (processUsage, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	var used processUsage
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return used, err
	}
	// The name, in brackets, may hold spaces; the times are the 14th and 15th
	// fields, the 12th and 13th behind it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	if len(fields) < 13 {
		return used, fmt.Errorf("%s/stat: %d fields", dir, len(fields))
	}
	for _, f := range fields[11:13] {
		n, err := strconv.ParseInt(f, 10, 64)
		if err != nil {
			return used, err
		}
		used.cpu += time.Duration(n) * clockTick
	}
	used.peakKB = readField(dir+"/status", "VmHWM:")
	used.readBytes = readField(dir+"/io", "rchar:")
	used.writtenBytes = readField(dir+"/io", "wchar:")
	used.sockets = countSockets(dir + "/fd")
	return used, nil
}

// readField reads a number behind a name; 0 if there is none.
func readField(path, name string) int64 {
	data, _ := os.ReadFile(path)
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, name); ok {
			n, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return n
		}
	}
	return 0
}

func countSockets(dir string) int {
	n := 0
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if to, err := os.Readlink(dir + "/" + e.Name()); err == nil && strings.HasPrefix(to, "socket:") {
			n++
		}
	}
	return n
}

// processMeter adds up the usage of the processes that a role has had, one after the
// other.
type processMeter struct {
	pid        int
	lastSample processUsage
	lastAt     time.Time
	total      processUsage // of all processes; the peak and the sockets are maxima
	seconds    float64      // covered by samples
	peakCores  float64      // between two samples
	// steady is the same over the last part of the run, see begin.
	steadyCPU     time.Duration
	steadySeconds float64
	steady        bool
}

// addSample takes a sample in.
func (m *processMeter) addSample(pid int, u processUsage, at time.Time) {
	base, from := m.lastSample, m.lastAt
	if pid != m.pid {
		base, from = processUsage{}, at
		m.pid = pid
	}
	used := u.cpu - base.cpu
	m.total.cpu += used
	m.total.readBytes += u.readBytes - base.readBytes
	m.total.writtenBytes += u.writtenBytes - base.writtenBytes
	m.total.peakKB = max(m.total.peakKB, u.peakKB)
	m.total.sockets = max(m.total.sockets, u.sockets)
	if d := at.Sub(from).Seconds(); d > 0 {
		m.seconds += d
		m.peakCores = max(m.peakCores, used.Seconds()/d)
		if m.steady {
			m.steadyCPU += used
			m.steadySeconds += d
		}
	}
	m.lastSample, m.lastAt = u, at
}

// cores is the mean number of cores used.
func (m *processMeter) cores() float64 { return perSecond(m.total.cpu.Seconds(), m.seconds) }

// steadyCores is the mean over the last part of the run.
func (m *processMeter) steadyCores() float64 {
	return perSecond(m.steadyCPU.Seconds(), m.steadySeconds)
}

// startsPerSecond divides by a time; 0 if there is none.
func perSecond(v, seconds float64) float64 {
	if seconds <= 0 {
		return 0
	}
	return v / seconds
}
