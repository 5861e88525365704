package frontend

import "github.com/brookwalk/brookwalk/httpwire/httpstatus"

// A Refusal is the answer to a request that was not carried out.
type Refusal struct {
	Status int    // HTTP status number
	Reason string // for the user; other programs may match the texts, so they never change
	// RetryAfterS is the number of seconds after which the user is asked to retry; 0 if a
	// retry of the same request would be refused as well.
	RetryAfterS int
}

// Body returns the body of the answer.
func (r Refusal) Body() any { return refusalBody{r.Reason} }

type refusalBody struct {
	Error string `json:"error"`
}

const (
	// retrySoonS is the retry delay for requests that may succeed shortly.
	retrySoonS = 1
	// retryCancellationS is the retry delay for cancellations: stopping tasks takes longer.
	retryCancellationS = 2
)

// Refusals without a request to retry.
var (
	NoSuchPath       = Refusal{Status: httpstatus.NotFound, Reason: "no such path"}
	MethodNotAllowed = Refusal{Status: httpstatus.MethodNotAllowed, Reason: "method not allowed"}
	NoSuchJob        = Refusal{Status: httpstatus.NotFound, Reason: "no such job"}
	// Unhealthy is the answer to a health check when no new users are to be directed to this
	// controller.
	Unhealthy = Refusal{Status: httpstatus.ServiceUnavailable, Reason: reasonStoreUnavailable}
)

const reasonStoreUnavailable = "the state service does not answer"

// Refusals that ask the user to retry.
var (
	storeUnavailable    = retryLater(reasonStoreUnavailable, retrySoonS)
	overloaded          = retryLater("not now", retrySoonS)
	machineTypesUnknown = retryLater("machine types are not known yet", retrySoonS)
	recordRejected      = retryLater("the state service refuses the record", retrySoonS)
	listsNotSupported   = retryLater("it awaits more jobs than controllers of an earlier version can read", retrySoonS)
	tasksStillStopping  = retryLater("tasks are still being stopped", retryCancellationS)
)

func retryLater(reason string, afterS int) Refusal {
	return Refusal{Status: httpstatus.ServiceUnavailable, Reason: reason, RetryAfterS: afterS}
}

// malformed returns the refusal of a body that is not a valid submission.
func malformed(err error) Refusal {
	return Refusal{Status: httpstatus.BadRequest, Reason: err.Error()}
}

// infeasible returns the refusal of a job that can never run.
func infeasible(err error) Refusal {
	return Refusal{Status: httpstatus.UnprocessableEntity, Reason: err.Error()}
}
