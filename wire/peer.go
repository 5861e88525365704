package wire

// During an upgrade, controllers of two versions exchange these messages. Gob sends the names of
// types and fields, and drops fields that the receiver's type lacks. So the names below never
// change, whatever terms the rest of the program uses; fields may be added. compat_test.go checks
// the names, except those of PeerMessage.Region and Digest.FetchesQueue.

// PeerMessage is a message from one controller to another. Messages are sent as a stream of gob
// values, each with a four-byte length prefix, over one connection per direction. Exactly one of
// the pointers is set.
type PeerMessage struct {
	From    string
	Forward *Forward
	Reply   *Reply
	Digest  *Digest
	Ends    *Ends
	// Region is a message of another region, forwarded to the leader. It is sent only if limits
	// are shared with other regions: versions of the program without this field drop it.
	Region *RegionMessage
}

// PeerVersion is the version of the messages and records that this program understands. Records
// that an earlier version would misread are written only once every controller has reported a
// version that understands them.
const PeerVersion = PeerVersionDependencyLists

// PeerVersionPlacementRanges is the first version that understands jobs with dependencies, and
// placement records that state their range of tasks. PeerVersionDependencyLists also understands
// lists of dependencies that are split over several records.
const (
	PeerVersionPlacementRanges = 1
	PeerVersionDependencyLists = 2
)

// Forward is a worker's heartbeat that a controller forwards to the leader unchanged.
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

// Digest is sent by every controller to its peers several times per leader lease. It holds the
// highest term that the sender knows, whether the sender is the leader or has had contact with it
// recently, and whether the key-value store answers the sender. Once per lease the leader adds its
// jobs' task counts for display.
type Digest struct {
	// Version is the sender's PeerVersion; 0 for programs that are older than this field.
	Version     int
	Term        uint64
	Leader      bool
	HearsLeader bool
	StoreOK     bool
	HasJobs     bool
	Jobs        []JobCount
	// More is set if Jobs continues the list of the previous digest.
	More bool
	// FetchesQueue is set in a leader's digest if machines pull their images sequentially rather
	// than in parallel, as far as the leader or its predecessor has observed.
	FetchesQueue bool
	// Boot is the sender's incarnation, and Clock its monotonic clock at this digest, in
	// nanoseconds. EchoBoot and Echo are Boot and Clock of the newest digest that the sender has
	// received from the receiver.
	Boot, EchoBoot uint64
	Clock, Echo    int64
	// Kept lists the workers whose leases the sender has extended recently without the leader,
	// which it could not reach.
	Kept []Kept
	// Cancelled lists the jobs whose cancellation the sender has recorded and not yet
	// acknowledged to their users. The leader stops their tasks even while it cannot read the
	// store, and answers with Ends.
	Cancelled []Cancelled
}

// Ends is sent by the leader, with the state of jobs that have ended or are cancelled.
type Ends struct {
	// Over lists jobs whose end is recorded in the store.
	Over []JobEnd
	// Gone lists cancelled jobs whose tasks have all terminated, but whose end the leader has not
	// recorded. It is valid if the term key still has version TermVersion: then no later leader
	// can have started one of their tasks.
	Gone        []string
	TermVersion uint64
	// Held lists cancelled jobs that have tasks on unreachable machines. Their users are told to
	// retry later.
	Held []string
}

// JobEnd is the end of a job. Status is a JobState, and stays a string for compatibility with
// earlier versions.
type JobEnd struct {
	ID     string
	Status string
	Tasks  int
}

// Kept is the lease of a worker that a controller has extended without the leader.
type Kept struct {
	Machine string
	AgeMS   int64 // since the latest extension, in milliseconds
}

// Cancelled is a job's cancellation and the version of its record.
type Cancelled struct {
	ID      string
	Version uint64
}

// JobCount holds the task counts of an unfinished job.
type JobCount struct {
	ID            string
	Done, Running int
}
