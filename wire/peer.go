package wire

// PeerMessage is what one controller sends another: a stream of gob values,
// each behind a four-byte length, over one connection per direction. Exactly
// one of the pointers is set.
type PeerMessage struct {
	From    string
	Forward *Forward
	Reply   *Reply
	Digest  *Digest
}

// Forward hands a worker's report to the leader as it came.
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

// Digest is sent by every controller to the others several times within the
// leader's lease: who it takes for the leader, whether it hears that one, and
// whether the state service answers it. Now and then the leader adds its jobs'
// counts for display.
type Digest struct {
	Term        uint64
	Leader      bool
	HearsLeader bool
	StoreOK     bool
	// Apart is set by the leader while a zone is out of its reach.
	Apart   bool
	HasJobs bool
	Jobs    []JobCount
	// More tells that Jobs goes on from the digest before.
	More bool
	// Boot tells one run of the sender's process from another. Clock is the
	// sender's steady clock at this digest, in nanoseconds; EchoBoot and Echo
	// are those of the newest digest that the sender has from the receiver.
	Boot, EchoBoot uint64
	Clock, Echo    int64
	// Kept lists the workers whose leases the sender has lately extended while
	// it could not reach the leader.
	Kept []Kept
	// Cancelled lists the jobs whose users this controller has lately told so:
	// the leader must stop their tasks even if it cannot read the state
	// service meanwhile.
	Cancelled []Cancelled
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
