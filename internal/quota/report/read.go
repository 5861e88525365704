package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/core/records"
	"github.com/brookwalk/brookwalk/internal/core/topology"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// ErrNoLedger means that the store has no complete ledger, as in a region that shares no limits
// with others.
var ErrNoLedger = errors.New("the key-value store has no quota ledger")

// Read reads the ledger and the placements from the store at an address. The timeout applies to each
// request. The error names the prefix or record that could not be read.
func Read(address string, timeout time.Duration) (*Report, error) {
	store := &storeReader{client: httpwire.Client{Addr: address, MaxIdle: 1}, timeout: timeout}
	defer store.client.CloseIdle()
	items, err := store.list(ledger.Prefix)
	if err != nil {
		return nil, err
	}
	loaded, err := ledger.Load(items)
	if err != nil {
		return nil, err
	}
	if loaded.Epoch() == 0 {
		return nil, ErrNoLedger
	}
	used, err := store.readUsed()
	if err != nil {
		return nil, err
	}
	return build(loaded, used), nil
}

// storeReader reads records from the store, one request at a time.
type storeReader struct {
	client  httpwire.Client
	timeout time.Duration
}

// list reads all records under a prefix, page by page.
func (s *storeReader) list(prefix string) ([]wire.Item, error) {
	var items []wire.Item
	for after := ""; ; {
		page, err := s.page(prefix, after)
		if err != nil {
			return nil, fmt.Errorf("read %s: %w", prefix, err)
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// page reads one page of the records under a prefix, starting after a key.
func (s *storeReader) page(prefix, after string) (*wire.Page, error) {
	path := "/store?limit=500&under=" + prefix
	if after != "" {
		path += "&since=" + after
	}
	response, err := s.client.Do("GET", path, nil, s.timeout)
	if err != nil {
		return nil, err
	}
	if kv.StatusOf(response.Status) != kv.OK {
		return nil, fmt.Errorf("the key-value store answered with status %d", response.Status)
	}
	var page wire.Page
	if err := json.Unmarshal(response.Body, &page); err != nil {
		return nil, err
	}
	return &page, nil
}

// readUsed adds up the resources that the recorded placements use, by team.
func (s *storeReader) readUsed() (map[string]topology.Resources, error) {
	jobs, err := s.readJobs()
	if err != nil {
		return nil, err
	}
	placements, err := s.list(records.PrefixPlacement)
	if err != nil {
		return nil, err
	}
	used := map[string]topology.Resources{}
	for _, item := range placements {
		var record records.Placement
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return nil, fmt.Errorf("cannot decode record %s: %w", item.Key, err)
		}
		if placement, ok := records.ParsePlacementKey(item.Key, 1); ok {
			job := jobs[placement.Job]
			tasks := float64(len(record.Tasks))
			used[job.Team] = used[job.Team].Add(topology.Resources{CPUs: job.CPUs * tasks, GPUs: job.GPUs * tasks})
		}
	}
	return used, nil
}

// readJobs reads the unfinished jobs, by ID.
func (s *storeReader) readJobs() (map[string]wire.Job, error) {
	open, err := s.list(records.PrefixOpen)
	if err != nil {
		return nil, err
	}
	jobs := map[string]wire.Job{}
	for _, item := range open {
		var record records.Open
		if err := json.Unmarshal(item.Value, &record); err != nil {
			return nil, fmt.Errorf("cannot decode record %s: %w", item.Key, err)
		}
		jobs[item.Key[len(records.PrefixOpen):]] = record.Job
	}
	return jobs, nil
}
