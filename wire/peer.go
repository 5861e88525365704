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

// Digest is sent by every controller to the others about once a second: who
// it takes for the leader, and whether the state service answers it. The
// leader adds its jobs' counts for display.
type Digest struct {
	Term    uint64
	Leader  bool
	StoreOK bool
	Jobs    []JobCount
}

// JobCount carries the counts of an unfinished job.
type JobCount struct {
	ID            string
	Done, Running int
}
