package core

import (
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

type offerKey struct {
	typ, zone string
	spot      bool
}

// rent is a rental request without an answer so far. It is repeated under its
// name until it is answered, so it never rents twice.
type rent struct {
	req   wire.RentRequest
	busy  bool
	retry time.Duration
}

// key names the offer that is asked for.
func (r *rent) key() offerKey { return offerKey{r.req.Type, r.req.Zone, r.req.Spot} }

func (l *leader) price(typ string, spot bool) float64 {
	t := l.c.types[typ]
	if t == nil {
		return 0
	}
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// offer picks the type, zone and kind with the least price per task, among
// those not refused lately; of several zones the one with the fewest machines.
func (l *leader) offer(bins []*bin, j *wire.Job, zone func(string) bool) (offerKey, bool) {
	count := map[string]int{}
	for _, s := range bins {
		count[s.key.zone]++
	}
	type choice struct {
		k    offerKey
		cost float64
	}
	var cs []choice
	for _, name := range sortedKeys(l.c.types) {
		t := l.c.types[name]
		fit := capacity(t).Fit(size(j), 1<<20)
		if fit < 1 {
			continue
		}
		for _, z := range t.Zones {
			if zone != nil && !zone(z) || l.cutOff(z) {
				continue
			}
			for _, spot := range []bool{true, false} {
				k := offerKey{name, z, spot}
				if !eligible(j, name, z, spot) || l.c.now < l.fleet.refused[k] {
					continue
				}
				cs = append(cs, choice{k, l.price(name, spot) / float64(fit)})
			}
		}
	}
	if len(cs) == 0 {
		return offerKey{}, false
	}
	sort.SliceStable(cs, func(a, b int) bool {
		if cs[a].cost != cs[b].cost {
			return cs[a].cost < cs[b].cost
		}
		return count[cs[a].k.zone] < count[cs[b].k.zone]
	})
	return cs[0].k, true
}

// cutOff tells whether a zone is, or was a moment ago, out of reach: what is
// rented there is of no use before it is back.
func (l *leader) cutOff(zone string) bool {
	at, ok := l.fleet.cutAt[zone]
	return ok && l.c.now-at < l.c.report()
}

// rent sends a rental request; a shortage closes the offer for a while.
func (l *leader) rent(r *rent) {
	f := &l.fleet
	r.busy = true
	asked := l.c.now
	k := r.key()
	drop := func() {
		for i, o := range f.rents {
			if o == r {
				f.rents = append(f.rents[:i:i], f.rents[i+1:]...)
				return
			}
		}
	}
	l.c.call(Call{Dest: DestCloud, Method: "POST", Path: "/machines", Body: encode(r.req), Timeout: 4 * time.Second}, func(res Result) {
		r.busy = false
		if l.gone {
			return
		}
		switch res.Status {
		case 200:
			drop()
			var names wire.MachineNames
			json.Unmarshal(res.Body, &names)
			l.c.log.Info("rented", "type", k.typ, "zone", k.zone, "spot", k.spot, "asked", r.req.Count, "got", len(names.Machines))
			for _, n := range names.Machines {
				if _, ok := l.returned[n]; ok {
					continue
				}
				m := l.machine(n)
				if !m.known {
					l.describe(m, "", k.typ, k.zone, k.spot)
				}
				m.createdAt = asked
			}
			if len(names.Machines) < r.req.Count {
				f.refused[k] = l.c.now + l.refusedFor()
			}
			l.schedule = true
		case 503:
			var e struct {
				Error string `json:"error"`
			}
			json.Unmarshal(res.Body, &e)
			if e.Error == "no capacity" {
				l.c.log.Debug("no capacity", "type", k.typ, "zone", k.zone, "spot", k.spot)
				drop()
				f.refused[k] = l.c.now + l.refusedFor()
				l.schedule = true
				return
			}
			r.retry = l.c.now + time.Second
		case 400:
			drop()
			f.refused[k] = l.c.now + 10*l.refusedFor()
			l.c.log.Error("rental refused as malformed", "type", k.typ, "zone", k.zone)
		default:
			r.retry = l.c.now + time.Second
		}
	})
}

// refusedFor is how long an offer without capacity is not asked again: long
// enough that all offers together stay well under the cloud's rate.
func (l *leader) refusedFor() time.Duration {
	return time.Duration(48 / l.c.cfg.Deployment.Cloud.RPS * float64(time.Second))
}
