package core

import "github.com/brookwalk/brookwalk/httpwire/httpstatus"

// retryAfterSoon is the Retry-After, in seconds, of what may work in a moment.
const retryAfterSoon = 1

// Error texts of several answers.
const (
	errorStoreSilent = "the state service does not answer"
	errorNotNow      = "not now"
	errorNoSuchJob   = "no such job"
	errorStopping    = "tasks are still being stopped"
)

// errorBody is the body of an answer that reports an error.
type errorBody struct {
	Error string `json:"error"`
}

// answerError refuses a request for good.
func (c *Core) answerError(req uint64, status int, text string) {
	c.answer(req, status, errorBody{text}, 0)
}

// answerRetry refuses a request for now, and asks the user to come back soon.
func (c *Core) answerRetry(req uint64, text string) {
	c.answer(req, httpstatus.ServiceUnavailable, errorBody{text}, retryAfterSoon)
}
