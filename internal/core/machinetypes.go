package core

import (
	"time"

	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// tickTypes asks the cloud for its machine types now and then, and keeps the
// last answer in the state service so that a restart during an outage of the
// cloud can still validate submissions.
func (c *Core) tickTypes() {
	period := 20 * time.Second
	if len(c.types) == 0 {
		period = time.Second
	}
	if c.typesBusy || c.typesAt != 0 && c.now < c.typesAt+period {
		return
	}
	c.typesBusy = true
	c.typesAt = c.now
	c.call(Call{Dest: DestCloud, Method: "GET", Path: "/machine_types", Timeout: 3 * time.Second}, func(r Result) {
		c.typesBusy = false
		if r.Status == 200 && c.setTypes(r.Body) {
			if raw := string(r.Body); c.lead != nil && raw != c.typesRaw && len(raw) <= c.store.MaxValue() {
				c.typesRaw = raw
				txn := &wire.Txn{If: []wire.Cond{c.lead.termCond()}, Writes: []wire.Write{{Put: records.KeyTypes, Value: r.Body}}}
				c.store.Commit(txn, func(kv.TxnResult) {}) // if it fails, the next answer of the cloud is kept
			}
			return
		}
		if len(c.types) == 0 {
			c.store.Get(records.KeyTypes, func(r kv.GetResult) {
				if r.Status == kv.OK && len(c.types) == 0 {
					c.setTypes(r.Item.Value)
				}
			})
		}
	})
}

func (c *Core) setTypes(body []byte) bool {
	var t wire.MachineTypes
	if json.Unmarshal(body, &t) != nil || len(t.Types) == 0 {
		return false
	}
	types := map[string]*wire.MachineType{}
	for i := range t.Types {
		types[t.Types[i].Name] = &t.Types[i]
	}
	c.types = types
	c.typesRead++
	return true
}
