package sim

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/internal/config"
	"github.com/brookwalk/brookwalk/wire"
)

// scenarioLine is a line of a scenario: a word with arguments, and options of the form key=value.
// Its accessors panic with a message that contains the line's number if the line is invalid.
type scenarioLine struct {
	lineNumber int
	timed      bool          // whether the line is an action, which has a time
	at         time.Duration // time of the action
	word       string
	args       []string
	options    map[string]string
}

// parseLine parses a line; false if it is empty or contains only a comment.
func parseLine(lineNumber int, raw string) (line scenarioLine, found bool, err error) {
	raw, _, _ = strings.Cut(raw, "#")
	words := strings.Fields(raw)
	if len(words) == 0 {
		return scenarioLine{}, false, nil
	}
	line = scenarioLine{lineNumber: lineNumber, options: map[string]string{}}
	if words[0] == "at" {
		if len(words) < 3 {
			return scenarioLine{}, false, errors.New("\"at\" requires a time and an action")
		}
		at, err := strconv.ParseFloat(words[1], 64)
		if err != nil {
			return scenarioLine{}, false, err
		}
		line.at, line.timed = seconds(at), true
		words = words[2:]
	}
	line.word = words[0]
	for _, word := range words[1:] {
		if key, value, isOption := strings.Cut(word, "="); isOption {
			line.options[key] = value
		} else {
			line.args = append(line.args, word)
		}
	}
	return line, true, nil
}

// number returns the numeric value of an option, or a default.
func (l *scenarioLine) number(key string, defaultValue float64) float64 {
	text, given := l.options[key]
	if !given {
		return defaultValue
	}
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(fmt.Sprintf("line %d: invalid number in option %s: %v", l.lineNumber, key, err))
	}
	return value
}

// text returns the value of an option, or a default.
func (l *scenarioLine) text(key, defaultValue string) string {
	if value, given := l.options[key]; given {
		return value
	}
	return defaultValue
}

// list returns the words of an option that holds a comma-separated list; nil if it is empty.
func (l *scenarioLine) list(key string) []string {
	if l.options[key] == "" {
		return nil
	}
	return strings.Split(l.options[key], ",")
}

func (l *scenarioLine) arg(i int) string {
	if i >= len(l.args) {
		panic(fmt.Sprintf("line %d: an argument of %s is missing", l.lineNumber, l.word))
	}
	return l.args[i]
}

func (l *scenarioLine) hasFlag(flag string) bool { return slices.Contains(l.args, flag) }

// duration returns the duration of the action.
func (l *scenarioLine) duration() time.Duration { return seconds(l.number("for", 10)) }

// storeLimits returns limits of the key-value store with the line's options applied.
func (l *scenarioLine) storeLimits(limits config.StoreLimits) config.StoreLimits {
	limits.Next = nil
	limits.ValueKB = l.number("value_kb", limits.ValueKB)
	limits.TxnOps = int(l.number("txn_ops", float64(limits.TxnOps)))
	limits.WriteRPS = l.number("write_rps", limits.WriteRPS)
	return limits
}

// jobShapes maps the names of job shapes in scenarios to the shapes.
var jobShapes = map[string]wire.Shape{"": wire.ShapeArray, "array": wire.ShapeArray, "gang": wire.ShapeGang, "service": wire.ShapeService}

// job returns the job that the line describes.
func (l *scenarioLine) job() *groundTruth {
	shape, known := jobShapes[l.options["shape"]]
	if !known {
		panic(fmt.Sprintf("line %d: unknown shape %q", l.lineNumber, l.options["shape"]))
	}
	truth := newGroundTruth(wire.Job{
		ID: l.arg(0), Class: l.text("class", "web"), Team: l.text("team", "t"), Shape: shape,
		Priority: wire.Priority(l.text("priority", string(wire.PriorityNormal))), Tasks: int(l.number("tasks", 1)),
		CPUs: l.number("cpus", 1), GPUs: l.number("gpus", 0), MemGB: l.number("mem", 1),
		Image: l.text("image", "img"), ImageGB: l.number("image_gb", 2),
		OneZone: l.hasFlag("together"), SpreadZones: l.hasFlag("apart"), AllowSpot: l.hasFlag("spot"),
		Zone: l.options["zone"], MachineTypes: l.list("types"), Dependencies: l.list("awaits"),
		CheckpointIntervalS: l.number("checkpoint", 0), CheckpointDurationS: l.number("save", 0),
	})
	truth.runS, truth.fails = l.number("run", 30), l.hasFlag("fail")
	if shape != wire.ShapeService {
		truth.EstimatedRunS = truth.runS
	}
	if l.options["due"] != "" {
		deadline := l.number("due", 0)
		truth.DeadlineS = &deadline
	}
	return truth
}
