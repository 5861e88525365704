package wire

// Controllers of two versions exchange these messages during an upgrade. Gob sends the names
// of types and fields and drops what the receiver's type lacks: those of the types below never
// change, whatever terms the rest of the program uses; fields may be added. compat_test.go
// checks them.

// PeerMessage is what one controller sends another: a stream of gob values,
// each behind a four-byte length, over one connection per direction. Exactly
// one of the pointers is set.
type PeerMessage struct {
	From    string
	Forward *Forward
	Reply   *Reply
	Digest  *Digest
	Ends    *Ends
	// Region is another region's message, for the leader. It is sent only where regions are
	// turned on: versions before it would drop it.
	Region *RegionMessage
}

// PeerVersion is what this program understands of the others' messages and
// records. Records that an earlier version would misread are written only once
// every controller has said that it understands them.
const PeerVersion = PeerVersionLists

// PeerVersionRanges understands jobs with dependencies, and placement records
// that name their range of tasks; PeerVersionLists also lists of dependencies
// that are spread over records.
const (
	PeerVersionRanges = 1
	PeerVersionLists  = 2
)

// Forward passes a worker's heartbeat on to the leader as it came.
type Forward struct {
	ID   uint64
	Body []byte
}

// Reply answers a Forward.
type Reply struct {
	ID     uint64
	Status int
	Body   []byte
}

// Digest is sent by every controller to its peers several times per leader lease: the highest
// term that it knows, whether it hears the leader, and whether the key-value store answers it.
// Once per lease the leader adds its jobs' counts for display.
type Digest struct {
	// Version is the sender's PeerVersion; 0 for versions of the program before there was
	// one.
	Version     int
	Term        uint64
	Leader      bool
	HearsLeader bool
	StoreOK     bool
	HasJobs     bool
	Jobs        []JobCount
	// More is set if Jobs continues those of the digest before.
	More bool
	// FetchesQueue is set in a leader's digest if machines pull one image after the other, as
	// far as the leader has observed.
	FetchesQueue bool
	// Boot is the sender's incarnation. Clock is its steady clock at this digest, in
	// nanoseconds; EchoBoot and Echo are those of the newest digest that the sender has from
	// the receiver.
	Boot, EchoBoot uint64
	Clock, Echo    int64
	// Kept lists the workers whose leases the sender has extended recently, while it could not
	// reach the leader.
	Kept []Kept
	// Cancelled lists the jobs whose cancellation this controller has recorded and not yet
	// acknowledged to their users: the leader must stop their tasks even if it cannot read
	// the store meanwhile, and answers with Ends.
	Cancelled []Cancelled
}

// Ends is sent by the leader on jobs that have ended or are cancelled.
type Ends struct {
	// Over lists jobs whose end is on record.
	Over []JobEnd
	// Gone lists cancelled jobs whose tasks have all terminated, though the leader has not
	// recorded their end. It is valid if the term key still has TermVersion: then no later
	// leader can have started any task of them.
	Gone        []string
	TermVersion uint64
	// Held lists cancelled jobs with tasks on unreachable machines: their users are asked to
	// retry later.
	Held []string
}

// JobEnd is the end of a job. Status is a JobState; the field keeps the type that
// earlier versions send.
type JobEnd struct {
	ID     string
	Status string
	Tasks  int
}

// Kept is a worker's lease that was extended without the leader.
type Kept struct {
	Machine string
	AgeMS   int64 // since the latest extension
}

// Cancelled is a job's cancellation and the version of its record.
type Cancelled struct {
	ID      string
	Version uint64
}

// JobCount carries the counts of an unfinished job.
type JobCount struct {
	ID            string
	Done, Running int
}
