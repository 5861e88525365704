package kv

import (
	"strconv"
	"time"

	"github.com/brookwalk/brookwalk/wire"
)

// A Request is a call to the store.
type Request struct {
	Method  string
	Path    string
	Body    []byte
	Timeout time.Duration
	// Writes is the number of puts and deletes, which count against the write rate limit.
	Writes int
	// Urgent requests are sent without a wait even if the rate limit is used up.
	Urgent bool
	// Watch marks a request that the store holds open.
	Watch bool
}

// HTTP methods of the store's protocol.
const (
	methodGet  = "GET"
	methodPost = "POST"
)

// listLimit is the maximum number of keys in a page of a listing.
const listLimit = 500

func getRequest(key string) Request {
	return Request{Method: methodGet, Path: "/store/" + key}
}

func listRequest(prefix, after string) Request {
	path := "/store?under=" + prefix + "&limit=" + strconv.Itoa(listLimit)
	if after != "" {
		path += "&since=" + after
	}
	return Request{Method: methodGet, Path: path}
}

func commitRequest(txn *wire.Txn) Request {
	if txn.Conditions == nil {
		txn.Conditions = []wire.Condition{}
	}
	if txn.Writes == nil {
		txn.Writes = []wire.Write{}
	}
	return Request{Method: methodPost, Path: "/commit", Body: Encode(txn), Writes: len(txn.Writes)}
}

func grantRequest(ttl time.Duration) Request {
	body := Encode(wire.GrantRequest{TTLMs: int(ttl / time.Millisecond)})
	return Request{Method: methodPost, Path: "/grants", Body: body}
}

func renewRequest(lease uint64) Request {
	path := "/grants/" + strconv.FormatUint(lease, 10) + "/extend"
	return Request{Method: methodPost, Path: path, Body: []byte("{}")}
}

func watchRequest(prefix string, since uint64, hold time.Duration) Request {
	path := "/changes?under=" + prefix + "&since=" + strconv.FormatUint(since, 10) +
		"&holdMs=" + strconv.Itoa(int(hold/time.Millisecond))
	return Request{Method: methodGet, Path: path, Watch: true}
}
