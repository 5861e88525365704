package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/cloudapi"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// Intervals at which the machine types are requested from the cloud.
const (
	machineTypesPeriod        = 20 * time.Second
	machineTypesInitialPeriod = time.Second // while none are known
)

// tickMachineTypes requests the machine types from the cloud periodically, and stores the last
// response so that a controller that restarts during an outage of the cloud can still validate
// submissions.
func (c *Core) tickMachineTypes() {
	period := machineTypesPeriod
	if len(c.machineTypes) == 0 {
		period = machineTypesInitialPeriod
	}
	if c.machineTypesRequested || c.machineTypesRequestedAt != 0 && c.now < c.machineTypesRequestedAt+period {
		return
	}
	c.machineTypesRequested = true
	c.machineTypesRequestedAt = c.now
	c.cloud.MachineTypes(func(result cloudapi.MachineTypesResult) {
		c.machineTypesRequested = false
		if result.Status == cloudapi.Done && c.setMachineTypes(result.Body) {
			c.storeMachineTypes(result.Body)
		} else if len(c.machineTypes) == 0 {
			c.loadMachineTypes()
		}
	})
}

// storeMachineTypes stores a response of the cloud if this controller leads, the response has
// changed and it fits in a value of the store.
func (c *Core) storeMachineTypes(body []byte) {
	raw := string(body)
	if c.leader == nil || raw == c.machineTypesStored || len(raw) > c.store.MaxValue() {
		return
	}
	c.machineTypesStored = raw
	txn := &wire.Txn{
		Conditions: []wire.Condition{c.leader.termCondition()},
		Writes:     []wire.Write{{Put: records.KeyMachineTypes, Value: body}},
	}
	c.store.Commit(txn, func(kv.TxnResult) {}) // after a failure, the next response that differs is stored
}

// loadMachineTypes reads the stored response of the cloud, for a controller that has not received
// one.
func (c *Core) loadMachineTypes() {
	c.store.Get(records.KeyMachineTypes, func(result kv.GetResult) {
		if result.Status == kv.OK && len(c.machineTypes) == 0 {
			c.setMachineTypes(result.Item.Value)
		}
	})
}

// setMachineTypes replaces the machine types with those of a response of the cloud. It returns
// false and changes nothing if the response contains none or cannot be decoded.
func (c *Core) setMachineTypes(body []byte) bool {
	var answer wire.MachineTypes
	if json.Unmarshal(body, &answer) != nil || len(answer.Types) == 0 {
		return false
	}
	types := map[string]*wire.MachineType{}
	for i := range answer.Types {
		types[answer.Types[i].Name] = &answer.Types[i]
	}
	c.machineTypes = types
	c.machineTypesGeneration++
	return true
}
