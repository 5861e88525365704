package wake

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// Answer is called with the status and body of an answer of the state service; status 0 if
// none came.
type Answer func(status int, body []byte)

// Store is the state service. Its answers come later.
type Store interface {
	// List reads all keys below a prefix: a wire.Page.
	List(prefix string, done Answer)
	// Commit carries out a transaction.
	Commit(txn *wire.Txn, done Answer)
	// Grant asks for a lease, Extend renews it.
	Grant(ttl time.Duration, done Answer)
	Extend(lease uint64, done Answer)
	// Watch waits for changes below a prefix after a revision: wire.Changes, or 410 if they
	// are no longer known.
	Watch(prefix string, since uint64, done Answer)
}

// ReplicaState is what a model server says of a model's copy.
type ReplicaState string

// The states of a copy on a server. Unreached stands for no answer.
const (
	ReplicaAbsent      ReplicaState = "none"
	ReplicaLoading     ReplicaState = "loading"
	ReplicaReady       ReplicaState = "ready"
	ReplicaClosed      ReplicaState = "closed" // takes no further requests
	ReplicaFailed      ReplicaState = "failed" // the load failed; there is none any more
	ReplicaFenced      ReplicaState = "fenced" // a later epoch has been heard: nothing was done
	ReplicaUnreachable ReplicaState = ""
)

// ReplicaStatus is a model server's answer to its driver.
type ReplicaStatus struct {
	State ReplicaState `json:"state"`
	// StartToken allows one start, for as long as a copy's lease, by the server's clock.
	StartToken  uint64  `json:"ticket,omitempty"`
	InFlight    int     `json:"busy"`   // requests under way
	IdleSeconds float64 `json:"idle_s"` // since its last request, in seconds
}

// Verb is what a driver asks of a model server.
type Verb string

// The verbs of drivers. Each renews the copy's lease and fences earlier epochs. Start needs
// the ticket that a Look without a copy has given, so that one that is late or comes twice
// never starts a copy; it changes nothing where there is one.
const (
	VerbProbe Verb = "look"
	VerbStart Verb = "start"
	VerbClose Verb = "close"
	VerbStop  Verb = "stop" // ends a closed copy without requests under way
)

// Command is a driver's command to a model server.
type Command struct {
	Verb       Verb   `json:"verb"`
	Model      string `json:"model"`
	Epoch      uint64 `json:"epoch"`
	StartToken uint64 `json:"ticket,omitempty"`
}

// Outcome is what became of a request that was handed to a copy.
type Outcome int

// The outcomes. After OutcomeRejected the copy certainly has not begun it; Unknown is no answer: the
// request is asked again under its key, and the copy answers it once.
const (
	OutcomeServed Outcome = iota
	OutcomeRejected
	OutcomeUnknown
)

// ModelServers are the model servers. Their answers come later.
type ModelServers interface {
	Command(server string, c Command, done func(ReplicaStatus))
	Forward(server string, r *Request, done func(Outcome, []byte))
}

// Status is how a request ended.
type Status int

// The final answers.
const (
	StatusServed      Status = 200
	StatusNotFound    Status = 404 // no such model
	StatusUnavailable Status = 503 // come back after RetryAfterSeconds
	StatusTimeout     Status = 504 // its time is over
)

// Reply is the one final answer to a request.
type Reply struct {
	Status            Status
	Body              []byte
	RetryAfterSeconds int
}

// Host is the process around a controller.
type Host interface {
	// Now is the steady time.
	Now() time.Duration
	// Reply gives a request its final answer.
	Reply(id uint64, r Reply)
}
