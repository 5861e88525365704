// Package cloudapi is the interface to the cloud that provisions machines.
//
// It owns the cloud's protocol: paths, status codes, limits of a request, timeouts and the typed
// results of each call. The package has no clock, socket or goroutine: requests are sent by a
// Transport, and results are passed to callbacks. internal/core uses it; package internal/cloud
// sends the requests.
package cloudapi

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// Limits of the cloud's protocol.
const (
	// MaxMachinesPerProvision is the maximum number of machines in a provisioning request.
	MaxMachinesPerProvision = 50
	// MaxMachinesPerReturn is the maximum number of machines in a return request.
	MaxMachinesPerReturn = 100
	// ListPageSize is the maximum number of machines in a page of the machine list.
	ListPageSize = 500
)

const (
	callTimeout         = 4 * time.Second
	machineTypesTimeout = 3 * time.Second
)

// A Transport sends requests to the cloud. It calls done once: with the answer, or with
// StatusCode 0 if none came within the request's timeout.
type Transport interface {
	Send(request Request, done func(Response))
}

// A Client calls the cloud for one controller.
type Client struct {
	transport Transport
}

// NewClient creates a client.
func NewClient(transport Transport) *Client { return &Client{transport: transport} }

// Provision requests machines. It is idempotent: a repeated request with the same ID returns the
// machines that the first one provisioned.
func (c *Client) Provision(request wire.ProvisionRequest, done func(ProvisionResult)) {
	c.send(provisionRequest(request), func(r Response) { done(ParseProvision(r)) })
}

// Return returns machines to the cloud. Once the status is Done, the machines and everything
// that ran on them are terminated.
func (c *Client) Return(machines []string, done func(Status)) {
	c.send(returnRequest(machines), func(r Response) { done(StatusOf(r.StatusCode)) })
}

// ListMachines reads the page of the machine list that starts after the given machine name; an
// empty name means the first page. The list may be stale by up to the deployment's list lag.
func (c *Client) ListMachines(after string, done func(ListResult)) {
	c.send(listRequest(after), func(r Response) { done(ParseList(r)) })
}

// MachineTypes reads the machine types that the cloud offers.
func (c *Client) MachineTypes(done func(MachineTypesResult)) {
	c.send(machineTypesRequest(), func(r Response) {
		done(MachineTypesResult{Status: StatusOf(r.StatusCode), Body: r.Body})
	})
}

func (c *Client) send(request Request, done func(Response)) { c.transport.Send(request, done) }
