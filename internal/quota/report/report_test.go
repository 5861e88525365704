package report

import (
	"encoding/json"
	"errors"
	"net/url"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/internal/kv"
	"github.com/brookwalk/brookwalk/wire"
)

// pageSize is how many records the test store returns in a page.
const pageSize = 2

// serveStore serves records, which are in the order of their keys, as a key-value store does. It
// returns the server's address.
func serveStore(t *testing.T, items []wire.Item) string {
	t.Helper()
	server, err := httpserve.Listen("127.0.0.1:0", &httpserve.Traffic{}, func(request *httpwire.Request, reply func(httpserve.Response)) {
		query, err := url.ParseQuery(request.Query)
		if err != nil {
			t.Error(err)
		}
		page := pageOf(items, query.Get("under"), query.Get("since"))
		reply(httpserve.Response{Status: httpstatus.OK, Body: kv.Encode(page)})
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.CloseAll)
	return server.Addr()
}

// pageOf returns a page of the items under a prefix, starting after a key.
func pageOf(items []wire.Item, prefix, after string) wire.Page {
	page := wire.Page{Items: []wire.Item{}}
	for _, item := range items {
		if !strings.HasPrefix(item.Key, prefix) || item.Key <= after {
			continue
		}
		if len(page.Items) == pageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, item)
	}
	return page
}

func item(key, value string) wire.Item {
	return wire.Item{Key: key, Value: []byte(value), Version: 5}
}

// readTestReport reads a report from a store with a ledger of several pages, a job and its
// placements.
func readTestReport(t *testing.T) *Report {
	t.Helper()
	address := serveStore(t, []wire.Item{
		item("o/job-000001", `{"j":{"nameId":"job-000001","crew":"vision","shards":3,"cpus":2,"accelerators":1},"at":1}`),
		item("p/job-000001/0-3", `{"n":4,"t":[{"i":0,"a":1,"m":"n-1","z":"a","s":1},{"i":2,"a":2,"m":"n-1","z":"a","s":1}]}`),
		item("quota/head", `{"e":7,"f":"why"}`),
		item("quota/r/south", `{"e":9,"s":2,"o":[{"n":2,"p":[{"t":"vision","a":{"c":0,"g":1500}}]}],"r":4}`),
		item("quota/s/audio", `{"c":{"c":8000,"g":0},"g":{"c":0,"g":0},"o":{"c":4000,"g":0},"p":1}`),
		item("quota/s/vision", `{"c":{"c":1152921504606846975,"g":16000},"g":{"c":1152921504606846975,"g":2000},"o":{"c":1152921504606846975,"g":8000},"p":1}`),
	})
	report, err := Read(address, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// TestWriteTable checks that the table has rows with the values from the ledger and the placements.
func TestWriteTable(t *testing.T) {
	var table strings.Builder
	if err := readTestReport(t).WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	for _, row := range [][]string{
		{"FENCED:", "why"},
		{"vision", "- / 16", "- / 2", "- / 8", "4 / 2"},
		{"audio", "8 / 0", "4 / 0"},
		{"south", "2", "4", "1"},
		{"2", "vision", "0 / 1.5"},
	} {
		if !hasRow(table.String(), row) {
			t.Errorf("got no row that contains %q in the table\n%s", row, table.String())
		}
	}
}

// hasRow reports whether a line of a table contains all cells.
func hasRow(table string, cells []string) bool {
	return slices.ContainsFunc(strings.Split(table, "\n"), func(line string) bool {
		return !slices.ContainsFunc(cells, func(cell string) bool { return !strings.Contains(line, cell) })
	})
}

// TestWriteJSON checks that the written JSON can be decoded to the report.
func TestWriteJSON(t *testing.T) {
	var object strings.Builder
	if err := readTestReport(t).WriteJSON(&object); err != nil {
		t.Fatal(err)
	}
	var decoded Report
	if err := json.Unmarshal([]byte(object.String()), &decoded); err != nil {
		t.Fatal(err)
	}
	if len(decoded.Teams) != 2 || decoded.Teams[1].Limit.CPUs != nil || *decoded.Teams[1].Owned.GPUs != 8 {
		t.Errorf("decoded report: got %+v, want two teams, the second with CPUs unlimited and 8 GPUs owned", decoded)
	}
}

// TestReadNothing reads from a store without a ledger, and from a store that cannot be reached.
func TestReadNothing(t *testing.T) {
	if _, err := Read(serveStore(t, nil), 5*time.Second); !errors.Is(err, ErrNoLedger) {
		t.Errorf("store without a ledger: got error %v, want ErrNoLedger", err)
	}
	if _, err := Read("127.0.0.1:1", time.Second); err == nil {
		t.Error("unreachable store: got no error, want one")
	}
}
