package frontend

import "github.com/brookwalk/brookwalk/httpwire/httpstatus"

// A Refusal is the answer to a request that is not carried out.
type Refusal struct {
	Status int    // HTTP status number
	Reason string // for the user; other programs may know the texts, so they never change
	// RetryAfterS is after how many seconds the user is asked to retry; 0 if the same request
	// will be refused then as well.
	RetryAfterS int
}

// Body is the body of the answer.
func (r Refusal) Body() any { return refusalBody{r.Reason} }

type refusalBody struct {
	Error string `json:"error"`
}

const (
	// retrySoonS is for what may succeed in a moment.
	retrySoonS = 1
	// retryCancellationS is for cancellations, whose tasks take a while to stop.
	retryCancellationS = 2
)

// Refusals for good.
var (
	NoSuchPath       = Refusal{Status: httpstatus.NotFound, Reason: "no such path"}
	MethodNotAllowed = Refusal{Status: httpstatus.MethodNotAllowed, Reason: "method not allowed"}
	NoSuchJob        = Refusal{Status: httpstatus.NotFound, Reason: "no such job"}
	// Unhealthy is the answer to a health check: the controller is to get no new users.
	Unhealthy = Refusal{Status: httpstatus.ServiceUnavailable, Reason: reasonStoreUnavailable}
)

const reasonStoreUnavailable = "the state service does not answer"

// Refusals for now.
var (
	storeUnavailable   = retryLater(reasonStoreUnavailable, retrySoonS)
	overloaded         = retryLater("not now", retrySoonS)
	typesUnknown       = retryLater("machine types are not known yet", retrySoonS)
	recordRejected     = retryLater("the state service refuses the record", retrySoonS)
	listsNotSupported  = retryLater("it awaits more jobs than controllers of an earlier version can read", retrySoonS)
	tasksStillStopping = retryLater("tasks are still being stopped", retryCancellationS)
)

func retryLater(reason string, afterS int) Refusal {
	return Refusal{Status: httpstatus.ServiceUnavailable, Reason: reason, RetryAfterS: afterS}
}

// malformed refuses a body that is no submission.
func malformed(err error) Refusal {
	return Refusal{Status: httpstatus.BadRequest, Reason: err.Error()}
}

// infeasible refuses a job that can never run.
func infeasible(err error) Refusal {
	return Refusal{Status: httpstatus.UnprocessableEntity, Reason: err.Error()}
}
