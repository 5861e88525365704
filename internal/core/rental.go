package core

import (
	"slices"
	"sort"
	"time"

	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// offerKey names what the cloud rents: a type of machine in a zone, as a spot
// machine or not.
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

// price is the hourly price of a type of machine.
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

// pricedOffer is an offer and its price per task.
type pricedOffer struct {
	key  offerKey
	cost float64
}

// offer picks the type, zone and kind with the least price per task, among
// those not refused lately; of several zones the one with the fewest machines.
// zoneAllowed may be nil.
func (l *leader) offer(bins []*bin, j *wire.Job, zoneAllowed func(string) bool) (offerKey, bool) {
	offers := l.offers(j, zoneAllowed)
	if len(offers) == 0 {
		return offerKey{}, false
	}
	inZone := map[string]int{}
	for _, b := range bins {
		inZone[b.key.zone]++
	}
	sort.SliceStable(offers, func(a, b int) bool {
		if offers[a].cost != offers[b].cost {
			return offers[a].cost < offers[b].cost
		}
		return inZone[offers[a].key.zone] < inZone[offers[b].key.zone]
	})
	return offers[0].key, true
}

// maxTasksPerMachine bounds how many tasks a price is divided by.
const maxTasksPerMachine = 1 << 20

// offers lists what may be rented for a job, by type, zone and kind.
func (l *leader) offers(j *wire.Job, zoneAllowed func(string) bool) []pricedOffer {
	var out []pricedOffer
	for _, name := range sortedKeys(l.c.types) {
		t := l.c.types[name]
		fit := capacity(t).Fit(size(j), maxTasksPerMachine)
		if fit < 1 {
			continue
		}
		for _, zone := range t.Zones {
			if zoneAllowed != nil && !zoneAllowed(zone) || l.cutOff(zone) {
				continue
			}
			for _, spot := range []bool{true, false} {
				key := offerKey{name, zone, spot}
				if eligible(j, name, zone, spot) && l.c.now >= l.fleet.refused[key] {
					out = append(out, pricedOffer{key, l.price(name, spot) / float64(fit)})
				}
			}
		}
	}
	return out
}

// cutOff tells whether a zone is, or was a moment ago, out of reach: what is
// rented there is of no use before it is back.
func (l *leader) cutOff(zone string) bool {
	at, ok := l.fleet.cutAt[zone]
	return ok && l.c.now-at < l.c.report()
}

const (
	cloudTimeout = 4 * time.Second // of a call to the cloud
	cloudRetry   = time.Second     // between a call that failed and the next one
)

// noCapacity is the cloud's error for an offer that it has no machine of.
const noCapacity = "no capacity"

// rent sends a rental request; a shortage closes the offer for a while.
func (l *leader) rent(r *rent) {
	r.busy = true
	asked := l.c.now
	l.c.call(Call{Dest: DestCloud, Method: "POST", Path: "/machines", Body: encode(r.req), Timeout: cloudTimeout}, func(res Result) {
		r.busy = false
		if l.deposed {
			return
		}
		key := r.key()
		switch {
		case res.Status == 200:
			l.dropRent(r)
			l.noteRented(r, asked, res.Body)
		case res.Status == 503 && cloudError(res.Body) == noCapacity:
			l.dropRent(r)
			l.c.log.Debug("no capacity", "type", key.typ, "zone", key.zone, "spot", key.spot)
			l.fleet.refused[key] = l.c.now + l.refusedFor()
			l.passes.requested = true
		case res.Status == 400:
			l.dropRent(r)
			l.c.log.Error("rental refused as malformed", "type", key.typ, "zone", key.zone)
			l.fleet.refused[key] = l.c.now + 10*l.refusedFor()
		default:
			r.retry = l.c.now + cloudRetry
		}
	})
}

// dropRent forgets a rental request that is answered.
func (l *leader) dropRent(r *rent) {
	l.fleet.rents = slices.DeleteFunc(slices.Clone(l.fleet.rents), func(o *rent) bool { return o == r })
}

// noteRented takes in the machines that a request made at a time has rented.
func (l *leader) noteRented(r *rent, asked time.Duration, body []byte) {
	var names wire.MachineNames
	json.Unmarshal(body, &names)
	key := r.key()
	l.c.log.Info("rented", "type", key.typ, "zone", key.zone, "spot", key.spot, "asked", r.req.Count, "got", len(names.Machines))
	for _, name := range names.Machines {
		if _, ok := l.returned[name]; ok {
			continue
		}
		m := l.machine(name)
		if !m.known {
			l.describe(m, "", key.typ, key.zone, key.spot)
		}
		m.createdAt = asked
	}
	if len(names.Machines) < r.req.Count {
		l.fleet.refused[key] = l.c.now + l.refusedFor()
	}
	l.passes.requested = true
}

// cloudError is the error that an answer of the cloud names.
func cloudError(body []byte) string {
	var e struct {
		Error string `json:"error"`
	}
	json.Unmarshal(body, &e)
	return e.Error
}

// refusedFor is how long an offer without capacity is not asked again: long
// enough that all offers together stay well under the cloud's rate.
func (l *leader) refusedFor() time.Duration {
	return time.Duration(48 / l.c.cfg.Deployment.Cloud.RPS * float64(time.Second))
}
