package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// tickMachineTypes asks the cloud for its machine types now and then, and keeps the
// last answer in the state service so that a restart during an outage of the
// cloud can still validate submissions.
func (c *Core) tickMachineTypes() {
	period := 20 * time.Second
	if len(c.machineTypes) == 0 {
		period = time.Second
	}
	if c.machineTypesRequested || c.machineTypesRequestedAt != 0 && c.now < c.machineTypesRequestedAt+period {
		return
	}
	c.machineTypesRequested = true
	c.machineTypesRequestedAt = c.now
	c.call(Call{Destination: DestinationCloud, Method: "GET", Path: "/machine_types", Timeout: 3 * time.Second}, func(result Result) {
		c.machineTypesRequested = false
		if result.Status == 200 && c.setMachineTypes(result.Body) {
			if raw := string(result.Body); c.leader != nil && raw != c.machineTypesStored && len(raw) <= c.store.MaxValue() {
				c.machineTypesStored = raw
				txn := &wire.Txn{Conditions: []wire.Condition{c.leader.termCondition()}, Writes: []wire.Write{{Put: records.KeyTypes, Value: result.Body}}}
				c.store.Commit(txn, func(kv.TxnResult) {}) // if it fails, the next answer of the cloud is kept
			}
			return
		}
		if len(c.machineTypes) == 0 {
			c.store.Get(records.KeyTypes, func(result kv.GetResult) {
				if result.Status == kv.OK && len(c.machineTypes) == 0 {
					c.setMachineTypes(result.Item.Value)
				}
			})
		}
	})
}

func (c *Core) setMachineTypes(body []byte) bool {
	var machineTypes wire.MachineTypes
	if json.Unmarshal(body, &machineTypes) != nil || len(machineTypes.Types) == 0 {
		return false
	}
	types := map[string]*wire.MachineType{}
	for i := range machineTypes.Types {
		types[machineTypes.Types[i].Name] = &machineTypes.Types[i]
	}
	c.machineTypes = types
	c.machineTypesGeneration++
	return true
}
