package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/cloudapi"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// How often the cloud is asked for its machine types.
const (
	machineTypesPeriod        = 20 * time.Second
	machineTypesInitialPeriod = time.Second // while none are known
)

// tickMachineTypes asks the cloud for its machine types periodically, and stores the last answer
// so that a restart during an outage of the cloud can still validate submissions.
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

// storeMachineTypes stores an answer of the cloud, if this controller leads and the answer has
// changed.
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
	c.store.Commit(txn, func(kv.TxnResult) {}) // if it fails, the next answer of the cloud is kept
}

// loadMachineTypes reads the stored answer of the cloud, for a controller that has had none.
func (c *Core) loadMachineTypes() {
	c.store.Get(records.KeyMachineTypes, func(result kv.GetResult) {
		if result.Status == kv.OK && len(c.machineTypes) == 0 {
			c.setMachineTypes(result.Item.Value)
		}
	})
}

// setMachineTypes replaces the machine types by those of an answer of the cloud. It reports
// whether the answer holds any.
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
