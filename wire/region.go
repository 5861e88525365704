package wire

// Leaders of different regions exchange these messages, as gob values behind a four-byte
// length. The names of types and fields never change; fields may be added. A message states
// all that its sender knows of the link: a message that is lost, repeated or out of order does no harm.

// RegionVersion is what this program understands of other regions' messages. A message of a
// higher version is refused.
const RegionVersion = 1

// RegionMessage is what the leader of one region tells that of another.
type RegionMessage struct {
	Version  int
	From, To string // regions
	// Run distinguishes one view of the sender's ledger from another: it changes with each leader
	// and each time that the ledger is read anew. Sequence counts the messages of a run.
	Run, Sequence uint64
	// EchoRun and EchoSequence are those of the newest message from the receiver.
	EchoRun, EchoSequence uint64
	// ConfirmedRun is a run of the receiver for which the sender has confirmed, since it first
	// heard of it, that it still leads: its statements on the link are not outdated.
	ConfirmedRun uint64
	// Plan is the fingerprint of the sender's regions file.
	Plan uint64
	// Epoch is that of the sender's ledger, 0 if it has none; KnownEpoch is that of the
	// receiver's as the sender has it on record.
	Epoch, KnownEpoch uint64
	// Sent and Acknowledged are the numbers of the last transfer to the receiver and of the
	// last one that it is known to have added; Received is that of the last transfer from the
	// receiver that was added.
	Sent, Acknowledged, Received uint64
	Transfers                    []RegionTransfer // to the receiver, not acknowledged
	Claims                       []RegionClaim    // what the sender would like to have of the receiver's shares
	// Offers lists what the sender could spare; it is left out of messages between two
	// full ones, which HasOffers marks.
	HasOffers bool
	Offers    []RegionOffer
}

// RegionTransfer transfers shares of teams' limits.
type RegionTransfer struct {
	Number uint64
	Parts  []RegionShare
}

// RegionShare is an amount of a team's limit, in thousandths of CPUs and GPUs.
type RegionShare struct {
	Team       string
	CPUs, GPUs int64
}

// RegionClaim asks for a part of the receiver's share of a team.
type RegionClaim struct {
	Team string
	// NeedCPUs and NeedGPUs are for work that waits; ReserveCPUs and ReserveGPUs are wished
	// for beside, so that the next task need not wait. In thousandths.
	NeedCPUs, NeedGPUs       int64
	ReserveCPUs, ReserveGPUs int64
	// Rank is the priority of the work, higher first.
	Rank int
	// Gang tells that the need is of use as a whole only.
	Gang bool
}

// RegionOffer is what the sender could spare of its share of a team, in thousandths.
type RegionOffer struct {
	Team       string
	CPUs, GPUs int64
	// Plan is the fingerprint of the regions file that the sender's first share came from.
	Plan uint64
	// GangRank is the priority of a gang that waits for what is offered, if Contested: only
	// a gang that goes before it may have it.
	Contested bool
	GangRank  int
}
