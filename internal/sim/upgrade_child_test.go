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

// The types below are the messages exchanged with a child process of another version, see
// testdata/upgrade/driver.go.txt; their fields must have the same names there. Peer messages are
// encoded with one version's types and decoded with the other's, as between real controllers.

type childStart struct {
	Settings string // TOML
	Boot     uint64
}

// childInput is the input of a step: a Tick if only the times are set.
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

// child is a child process that runs a core of another version.
type child struct {
	test    *testing.T
	cmd     *exec.Cmd
	stderr  bytes.Buffer
	input   *bufio.Writer
	encoder *gob.Encoder
	decoder *gob.Decoder
}

// startChild starts a child process with the core of a controller.
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

// kill ends the process. Errors are ignored: the process may have ended already, and Wait always
// returns an error for a killed process.
func (c *child) kill() {
	_ = c.cmd.Process.Kill()
	_ = c.cmd.Wait()
}

// Step implements stepper.
func (c *child) Step(now time.Duration, wall time.Time, in core.Input) core.Output {
	var answer childOutput
	if err := c.exchange(c.encode(now, wall, in), &answer); err != nil {
		c.kill()
		c.test.Fatalf("step of a controller of the old version failed: %v\n%s", err, c.stderr.String())
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
		c.test.Fatalf("the old version does not support inputs of type %T", in)
	}
	return message
}

// childDestinations are the destinations of calls by their names in a child's messages.
var childDestinations = map[string]core.Destination{"store": core.DestinationStore, "cloud": core.DestinationCloud, "worker": core.DestinationWorker}

func (c *child) decode(message childOutput) core.Output {
	var out core.Output
	for _, answer := range message.Answers {
		out.Answers = append(out.Answers, core.Answer{ID: answer.ID, Status: answer.Status, Body: answer.Body, RetryAfterS: answer.RetryAfter})
	}
	for _, call := range message.Calls {
		destination, known := childDestinations[call.Dest]
		if !known {
			c.test.Fatalf("call of the old version has unknown destination %q", call.Dest)
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
