package wake

import (
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Store is the key-value store. Each call is answered later, by its callback.
type Store interface {
	// List reads all keys below a prefix.
	List(prefix string, done func(kv.ListResult))
	// Commit carries out a transaction.
	Commit(txn *wire.Txn, done func(kv.TxnResult))
	// Grant asks for a lease.
	Grant(ttl time.Duration, done func(kv.GrantResult))
	// Renew renews a lease; NotFound means that it has expired.
	Renew(lease uint64, done func(kv.Status))
	// Watch waits for changes below a prefix after a revision.
	Watch(prefix string, since uint64, done func(kv.WatchResult))
}

// ReplicaState is the state of a model's replica as its model server reports it.
type ReplicaState string

// The states of a replica. ReplicaUnreachable means that the server did not answer.
const (
	ReplicaAbsent      ReplicaState = "none"
	ReplicaLoading     ReplicaState = "loading"
	ReplicaReady       ReplicaState = "ready"
	ReplicaClosed      ReplicaState = "closed" // takes no further requests
	ReplicaFailed      ReplicaState = "failed" // the load failed, and there is no replica
	ReplicaFenced      ReplicaState = "fenced" // the server knows a later epoch and did nothing
	ReplicaUnreachable ReplicaState = ""
)

// ReplicaStatus is a model server's answer to a command.
type ReplicaStatus struct {
	State ReplicaState `json:"state"`
	// StartToken permits one start, for as long as a replica's lease, by the server's clock.
	StartToken  uint64  `json:"ticket,omitempty"`
	InFlight    int     `json:"busy"`   // requests that are being served
	IdleSeconds float64 `json:"idle_s"` // since the last request
}

// Verb is what a command asks of a model server.
type Verb string

// The verbs of commands. Each command renews the replica's lease and fences earlier epochs. A
// start needs the token that a probe has returned where there is no replica, so that a start
// that is late or repeated never starts a second replica; it does nothing where there is one.
const (
	VerbProbe Verb = "look"
	VerbStart Verb = "start"
	VerbClose Verb = "close"
	VerbStop  Verb = "stop" // ends a closed replica that serves no request
)

// Command is a command of a replica's owner to the model server.
type Command struct {
	Verb       Verb   `json:"verb"`
	Model      string `json:"model"`
	Epoch      uint64 `json:"epoch"`
	StartToken uint64 `json:"ticket,omitempty"`
}

// Outcome is what became of a request that was forwarded to a replica.
type Outcome int

// The outcomes. After OutcomeRejected the replica has certainly not begun the request. After
// OutcomeUnknown, when no answer came, the request is forwarded again under its idempotency
// key, and the replica serves it once.
const (
	OutcomeServed Outcome = iota
	OutcomeRejected
	OutcomeUnknown
)

// ModelServers are the servers that run replicas. Each call is answered later, by its callback.
type ModelServers interface {
	// Command sends a command to a server.
	Command(server string, command Command, done func(ReplicaStatus))
	// Forward sends a request to the replica on a server.
	Forward(server string, request *Request, done func(outcome Outcome, body []byte))
}

// Status is how a request ended, as a status number of HTTP.
type Status int

// The final answers.
const (
	StatusServed      Status = httpstatus.OK
	StatusNotFound    Status = httpstatus.NotFound           // no such model
	StatusUnavailable Status = httpstatus.ServiceUnavailable // to be repeated after RetryAfterSeconds
	StatusTimeout     Status = httpstatus.GatewayTimeout
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
	Reply(id uint64, reply Reply)
}
