// Package cloudapi is the port to the cloud that provisions machines.
//
// It owns the cloud's protocol: paths, status numbers, limits of a request, timeouts and the
// typed results of each call. The package has no clock, socket or goroutine: requests go out by
// a Transport, and the results come back by callbacks. internal/core uses it; package
// internal/cloud carries out the calls.
package cloudapi

import (
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// Limits of the cloud's protocol.
const (
	// MaxMachinesPerProvision is how many machines one provisioning request may ask for.
	MaxMachinesPerProvision = 50
	// MaxMachinesPerReturn is how many machines one request may return.
	MaxMachinesPerReturn = 100
	// ListPageSize is how many machines a page of the machine list has at most.
	ListPageSize = 500
)

const (
	callTimeout         = 4 * time.Second
	machineTypesTimeout = 3 * time.Second
)

// A Transport carries requests to the cloud. It calls done once, with the answer, or with
// Number 0 after the request's timeout.
type Transport interface {
	Send(request Request, done func(Response))
}

// A Client calls the cloud for one controller.
type Client struct {
	transport Transport
}

// NewClient makes a client.
func NewClient(transport Transport) *Client { return &Client{transport: transport} }

// Provision asks for machines. It is idempotent: repeated under the same ID, it names the
// machines that the first request provisioned.
func (c *Client) Provision(request wire.ProvisionRequest, done func(ProvisionResult)) {
	c.send(provisionRequest(request), func(r Response) { done(ParseProvision(r)) })
}

// Return gives machines back. Once it is Done, they are terminated with all that ran on them.
func (c *Client) Return(machines []string, done func(Status)) {
	c.send(returnRequest(machines), func(r Response) { done(StatusOf(r.Number)) })
}

// ListMachines reads the page of the machine list that begins after a machine's name; an empty
// name means the first page. The list may be out of date by the deployment's list lag.
func (c *Client) ListMachines(after string, done func(ListResult)) {
	c.send(listRequest(after), func(r Response) { done(ParseList(r)) })
}

// MachineTypes reads the machine types that the cloud offers.
func (c *Client) MachineTypes(done func(MachineTypesResult)) {
	c.send(machineTypesRequest(), func(r Response) {
		done(MachineTypesResult{Status: StatusOf(r.Number), Body: r.Body})
	})
}

func (c *Client) send(request Request, done func(Response)) { c.transport.Send(request, done) }
