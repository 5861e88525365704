package wake

import (
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// Store is the key-value store. The result of each call is passed to its callback.
type Store interface {
	// List reads all keys with a prefix.
	List(prefix string, done func(kv.ListResult))
	// Commit executes a transaction.
	Commit(txn *wire.Txn, done func(kv.TxnResult))
	// Grant requests a lease.
	Grant(ttl time.Duration, done func(kv.GrantResult))
	// Renew renews a lease; NotFound means that it has expired.
	Renew(lease uint64, done func(kv.Status))
	// Watch waits for changes of keys with a prefix after a revision.
	Watch(prefix string, since uint64, done func(kv.WatchResult))
}

// ReplicaState is the state of a model's replica as its model server reports it.
type ReplicaState string

// The states of a replica. ReplicaUnreachable means that the server did not answer, so that it may have
// executed the command; ReplicaNotSent means that the command was not sent and never will be.
const (
	ReplicaAbsent      ReplicaState = "none"
	ReplicaLoading     ReplicaState = "loading"
	ReplicaReady       ReplicaState = "ready"
	ReplicaClosed      ReplicaState = "closed" // accepts no further requests
	ReplicaFailed      ReplicaState = "failed" // the load failed, and there is no replica
	ReplicaFenced      ReplicaState = "fenced" // the server has seen a later epoch and did nothing
	ReplicaLate        ReplicaState = "late"   // the command came after its expiry and the server did nothing
	ReplicaUnreachable ReplicaState = ""
	ReplicaNotSent     ReplicaState = "not sent"
)

// ReplicaStatus is a model server's answer to a command.
type ReplicaStatus struct {
	State ReplicaState `json:"state"`
	// StartToken permits a single start. It is valid for the duration of a replica's lease, by
	// the server's clock.
	StartToken  uint64  `json:"ticket,omitempty"`
	InFlight    int     `json:"busy"`   // requests being served
	IdleSeconds float64 `json:"idle_s"` // since the last request
	// ClockSeconds is the time of the server's monotonic clock, which goes on when the server
	// restarts; 0 from a server that does not check the expiry of commands.
	ClockSeconds float64 `json:"clock_s,omitempty"`
}

// Verb is the action that a command requests of a model server.
type Verb string

// The verbs of commands. Each command renews the replica's lease and fences earlier epochs. A
// probe of a server without a replica returns a token, which the start must present, so that a
// late or repeated start never starts a second replica. A start has no effect if there is a
// replica.
const (
	VerbProbe Verb = "look"
	VerbStart Verb = "start"
	VerbClose Verb = "close"
	VerbStop  Verb = "stop" // ends a closed replica that serves no request
)

// Command is a command that a replica's owner sends to the model server.
type Command struct {
	Verb       Verb   `json:"verb"`
	Model      string `json:"model"`
	Epoch      uint64 `json:"epoch"`
	StartToken uint64 `json:"ticket,omitempty"`
	// ExpirySeconds is the time of the server's clock after which the command is not executed, so
	// that one that was held up on its way renews no lease; 0 for none.
	ExpirySeconds float64 `json:"expires_s,omitempty"`
}

// Outcome is the outcome of a request that was forwarded to a replica.
type Outcome int

// The outcomes. OutcomeRejected means that the replica has not begun to serve the request.
// OutcomeUnknown means that no usable answer came: the request is forwarded again under its
// idempotency key, and the replica serves it once.
const (
	OutcomeServed Outcome = iota
	OutcomeRejected
	OutcomeUnknown
)

// ModelServers are the servers that run replicas. The result of each call is passed to its
// callback.
type ModelServers interface {
	// Command sends a command to a server. The callback is called within one controller lease.
	Command(server string, command Command, done func(ReplicaStatus))
	// Forward sends a request to the replica on a server.
	Forward(server string, request *Request, done func(outcome Outcome, body []byte))
}

// Status is the outcome of a request, as an HTTP status code.
type Status int

// The final answers.
const (
	StatusServed      Status = httpstatus.OK
	StatusNotFound    Status = httpstatus.NotFound           // no such model
	StatusUnavailable Status = httpstatus.ServiceUnavailable // queue full; retry after RetryAfterSeconds
	StatusTimeout     Status = httpstatus.GatewayTimeout
)

// Reply is the only answer to a request.
type Reply struct {
	Status            Status
	Body              []byte
	RetryAfterSeconds int
}

// Host is the process that runs a controller.
type Host interface {
	// Now returns the time of a monotonic clock.
	Now() time.Duration
	// Reply sends the answer to a request.
	Reply(id uint64, reply Reply)
}
