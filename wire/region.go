package wire

// Leaders of different regions exchange these messages, as gob values with a four-byte length
// prefix. The names of types and fields never change; fields may be added. Each message holds the
// sender's full state of the link, so lost, repeated and reordered messages are harmless.

// RegionVersion is the version of other regions' messages that this program understands. Messages
// of a higher version are rejected.
const RegionVersion = 1

// RegionMessage is a message from the leader of one region to the leader of another.
type RegionMessage struct {
	Version  int
	From, To string // regions
	// Run identifies the sender's incarnation: it changes with each leader, and each time that
	// the leader rereads the ledger. Sequence counts the messages of a run.
	Run, Sequence uint64
	// EchoRun and EchoSequence are Run and Sequence of the newest message that the sender has
	// from the receiver.
	EchoRun, EchoSequence uint64
	// ConfirmedRun is the receiver's run that the sender has confirmed: after first receiving a
	// message of this run, the sender has verified that it is still the leader itself, so what
	// it states about the link is current.
	ConfirmedRun uint64
	// Plan is the fingerprint of the sender's regions file.
	Plan uint64
	// Epoch is the epoch of the sender's ledger, 0 if it has none. KnownEpoch is the epoch of the
	// receiver's ledger that the sender has recorded.
	Epoch, KnownEpoch uint64
	// Sent is the number of the last transfer to the receiver, and Acknowledged that of the last
	// one which the receiver is known to have credited. Received is the number of the last
	// transfer from the receiver that the sender has credited.
	Sent, Acknowledged, Received uint64
	Transfers                    []RegionTransfer // to the receiver, not acknowledged
	Claims                       []RegionClaim    // requests for parts of the receiver's shares
	// Offers lists the amounts that the sender can spare. Periodic messages hold it, which
	// HasOffers marks; urgent messages between them leave it out.
	HasOffers bool
	Offers    []RegionOffer
}

// RegionTransfer transfers shares of team limits to the receiver.
type RegionTransfer struct {
	Number uint64
	Parts  []RegionShare
}

// RegionShare is an amount of a team's limit, in thousandths of CPUs and GPUs.
type RegionShare struct {
	Team       string
	CPUs, GPUs int64
}

// RegionClaim requests a part of the receiver's share of a team's limit.
type RegionClaim struct {
	Team string
	// NeedCPUs and NeedGPUs are for pending work. ReserveCPUs and ReserveGPUs are requested in
	// addition, so that the next task does not have to wait. All are in thousandths.
	NeedCPUs, NeedGPUs       int64
	ReserveCPUs, ReserveGPUs int64
	// Rank is the priority of the work, higher first.
	Rank int
	// Gang means that the need is for a gang: a part of it is of no use.
	Gang bool
}

// RegionOffer is the amount that the sender can spare of its share of a team's limit, in
// thousandths.
type RegionOffer struct {
	Team       string
	CPUs, GPUs int64
	// Plan is the fingerprint of the regions file that the sender's initial share came from.
	Plan uint64
	// Contested means that a gang of the sender's region waits for the offered amount, and
	// GangRank is its priority. Only work of a higher priority may claim the amount, or a gang of
	// the same priority whose region comes first in the regions file.
	Contested bool
	GangRank  int
}
