package core

import (
	"slices"
	"time"

	"github.com/brookwalk/brookwalk/internal/core/rental"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
	"github.com/segmentio/encoding/json"
)

// rent is a rental request without an answer so far. It is repeated under its
// name until it is answered, so it never rents twice.
type rent struct {
	req   wire.RentRequest
	busy  bool
	retry time.Duration
}

// offer is what is asked for.
func (r *rent) offer() rental.Offer {
	return rental.Offer{Type: r.req.Type, Zone: r.req.Zone, Spot: r.req.Spot}
}

// offer is what the machine was rented as.
func (m *machine) offer() rental.Offer {
	return rental.Offer{Type: m.typ, Zone: m.zone, Spot: m.spot}
}

// priceOf is the hourly price of a machine.
func (l *leader) priceOf(m *machine) float64 { return priceOf(l.typeOf(m), m.spot) }

// priceOf is the hourly price of a type of machine, which may be unknown.
func priceOf(t *wire.MachineType, spot bool) float64 {
	if t == nil {
		return 0
	}
	if spot {
		return t.SpotPrice
	}
	return t.Price
}

// terms lists what the cloud may grant now, by type, zone and kind: not what it refused
// a moment ago, and of what it refused lately only some machines.
func (l *leader) terms() []rental.Terms {
	var out []rental.Terms
	for _, name := range sortedKeys(l.c.types) {
		t := l.c.types[name]
		for _, zone := range t.Zones {
			if l.cutOff(zone) {
				continue
			}
			for _, spot := range []bool{true, false} {
				o := rental.Offer{Type: name, Zone: zone, Spot: spot}
				if limit := l.offerLimit(o); limit > 0 {
					out = append(out, rental.Terms{Offer: o, Capacity: capacity(t), Price: priceOf(t, spot), Limit: limit})
				}
			}
		}
	}
	return out
}

// offered tells whether the cloud may grant a machine for a job now.
func (l *leader) offered(j *wire.Job) bool {
	for name, t := range l.c.types { // in any order: it is enough that there is one
		if !capacity(t).Holds(size(j)) {
			continue
		}
		for _, zone := range t.Zones {
			for _, spot := range []bool{true, false} {
				if eligible(j, name, zone, spot) && !l.cutOff(zone) && l.c.now >= l.fleet.refused[rental.Offer{Type: name, Zone: zone, Spot: spot}] {
					return true
				}
			}
		}
	}
	return false
}

// probeCount is how many machines are counted on of an offer that was refused lately.
// Each grant in full doubles it, up to a whole request; then the offer counts without
// bound again. Counted on without bound at once, a cheap offer that was out of
// machines took all waiting tasks at each try, and of the dearer ones nothing was
// rented for minutes.
const probeCount = maxRentCount / 6

// offerLimit is how many machines of an offer may be counted on beside those asked for.
func (l *leader) offerLimit(o rental.Offer) int {
	if l.c.now < l.fleet.refused[o] {
		return 0
	}
	limit, bounded := l.fleet.probes[o]
	if !bounded {
		return rental.Unlimited
	}
	for _, r := range l.fleet.rents {
		if r.offer() == o {
			limit -= r.req.Count
		}
	}
	return limit
}

// noteRefused notes that the cloud has no more machines of an offer for now.
func (l *leader) noteRefused(o rental.Offer, rest time.Duration) {
	l.fleet.refused[o] = l.c.now + rest
	l.fleet.probes[o] = probeCount
	l.dropWanted(o)
	l.passes.requested = true
}

// noteGranted notes that a request was granted in full.
func (l *leader) noteGranted(o rental.Offer) {
	limit, bounded := l.fleet.probes[o]
	switch {
	case !bounded:
	case 2*limit > maxRentCount:
		delete(l.fleet.probes, o)
	default:
		l.fleet.probes[o] = 2 * limit
	}
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
	l.c.call(Call{Dest: DestCloud, Method: "POST", Path: "/machines", Body: kv.Encode(r.req), Timeout: cloudTimeout}, func(res Result) {
		r.busy = false
		if l.deposed {
			return
		}
		o := r.offer()
		switch {
		case res.Status == 200:
			l.dropRent(r)
			l.noteRented(r, asked, res.Body)
		case res.Status == 503 && cloudError(res.Body) == noCapacity:
			l.dropRent(r)
			l.c.log.Debug("no capacity", "type", o.Type, "zone", o.Zone, "spot", o.Spot)
			l.noteRefused(o, l.refusedFor())
		case res.Status == 400:
			l.dropRent(r)
			l.c.log.Error("rental refused as malformed", "type", o.Type, "zone", o.Zone)
			l.noteRefused(o, 10*l.refusedFor())
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
	o := r.offer()
	l.c.log.Info("rented", "type", o.Type, "zone", o.Zone, "spot", o.Spot, "asked", r.req.Count, "got", len(names.Machines))
	for _, name := range names.Machines {
		if _, ok := l.returned[name]; ok {
			continue
		}
		m := l.machine(name)
		if !m.known {
			l.describe(m, "", o.Type, o.Zone, o.Spot)
		}
		m.createdAt, m.rentedAt = asked, asked
	}
	if len(names.Machines) < r.req.Count {
		l.noteRefused(o, l.refusedFor())
	} else {
		l.noteGranted(o)
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
