package sim

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/brookwalk/brookwalk/internal/core"
	"github.com/brookwalk/brookwalk/wire"
)

// The types below are the messages of a child of another version, see testdata/upgrade/driver.go.txt;
// their fields have the same names there. Messages of peers pass as they do between controllers:
// encoded by one version's types, decoded by the other's.

type childStart struct {
	Settings string // TOML
	Boot     uint64
}

// childInput is a Tick if it holds nothing but the times.
type childInput struct {
	Now     time.Duration
	WallMS  int64
	Request *childRequest
	Result  *childResult
	Message *wire.PeerMessage
}

type childRequest struct {
	ID           uint64
	Method, Path string
	Body         []byte
}

type childResult struct {
	ID      uint64
	Status  int
	Body    []byte
	NotSent bool
}

type childOutput struct {
	Answers []childAnswer
	Calls   []childCall
	Sends   []childSend
}

type childAnswer struct {
	ID         uint64
	Status     int
	Body       []byte
	RetryAfter int
}

type childCall struct {
	ID                 uint64
	Dest               string
	Addr, Method, Path string
	Body               []byte
	Timeout            time.Duration
	Writes             int
	Urgent, Watch      bool
}

type childSend struct {
	To  string
	Msg *wire.PeerMessage
}

// child is a process that runs a core of another version.
type child struct {
	test    *testing.T
	cmd     *exec.Cmd
	stderr  bytes.Buffer
	input   *bufio.Writer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

// startChild starts the core of a controller in a process of its own.
func startChild(t *testing.T, program string, c *controller, incarnation uint64) *child {
	t.Helper()
	var settings bytes.Buffer
	if err := toml.NewEncoder(&settings).Encode(c.settings()); err != nil {
		t.Fatal(err)
	}
	started := &child{test: t, cmd: exec.Command(program)}
	started.cmd.Env = append(os.Environ(), "GOMAXPROCS=1")
	started.cmd.Stderr = &started.stderr
	input, err := started.cmd.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	output, err := started.cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := started.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	started.input = bufio.NewWriter(input)
	started.encoder, started.decoder = gob.NewEncoder(started.input), gob.NewDecoder(bufio.NewReader(output))
	if err := started.encoder.Encode(childStart{settings.String(), incarnation}); err != nil {
		t.Fatal(err)
	}
	return started
}

// kill ends the process. It may have ended already, and always ends with an error.
func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// Step implements stepper.
func (c *child) Step(now time.Duration, wall time.Time, in core.Input) core.Output {
	var answer childOutput
	if err := c.exchange(c.encode(now, wall, in), &answer); err != nil {
		c.kill()
		c.test.Fatalf("a controller of the old version ended: %v\n%s", err, c.stderr.String())
	}
	return c.decode(answer)
}

// exchange sends an input and reads the output.
func (c *child) exchange(input *childInput, output *childOutput) error {
	if err := c.encoder.Encode(input); err != nil {
		return err
	}
	if err := c.input.Flush(); err != nil {
		return err
	}
	return c.decoder.Decode(output)
}

func (c *child) encode(now time.Duration, wall time.Time, in core.Input) *childInput {
	message := &childInput{Now: now, WallMS: wall.UnixMilli()}
	switch in := in.(type) {
	case core.Tick:
	case core.Request:
		message.Request = &childRequest{ID: in.ID, Method: in.Method, Path: in.Path, Body: in.Body}
	case core.Result:
		message.Result = &childResult{ID: in.ID, Status: in.Status, Body: in.Body, NotSent: in.NotSent}
	case core.PeerInput:
		message.Message = in.Message
	default:
		c.test.Fatalf("the old version takes no %T", in)
	}
	return message
}

// childDestinations are the destinations of calls by their names in messages of children.
var childDestinations = map[string]core.Destination{"store": core.DestinationStore, "cloud": core.DestinationCloud, "worker": core.DestinationWorker}

func (c *child) decode(message childOutput) core.Output {
	var out core.Output
	for _, answer := range message.Answers {
		out.Answers = append(out.Answers, core.Answer{ID: answer.ID, Status: answer.Status, Body: answer.Body, RetryAfterS: answer.RetryAfter})
	}
	for _, call := range message.Calls {
		destination, known := childDestinations[call.Dest]
		if !known {
			c.test.Fatalf("unknown destination %q", call.Dest)
		}
		out.Calls = append(out.Calls, core.Call{
			ID: call.ID, Destination: destination, Address: call.Addr, Method: call.Method, Path: call.Path,
			Body: call.Body, Timeout: call.Timeout, Writes: call.Writes, Urgent: call.Urgent, Watch: call.Watch,
		})
	}
	for _, send := range message.Sends {
		out.PeerSends = append(out.PeerSends, core.PeerSend{To: send.To, Message: send.Msg})
	}
	return out
}
