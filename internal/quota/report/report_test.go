package report

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/brookwalk/brookwalk/httpwire"
	"github.com/brookwalk/brookwalk/internal/httpserve"
	"github.com/brookwalk/brookwalk/wire"
)

// serveStore serves keys as a state service does, two to a page.
func serveStore(t *testing.T, keys []wire.Item) string {
	t.Helper()
	var traffic httpserve.Traffic
	s, err := httpserve.Listen("127.0.0.1:0", &traffic, func(q *httpwire.Request, reply func(httpserve.Response)) {
		target := httpserve.RequestTarget(q)
		arg := func(name string) string {
			_, rest, _ := strings.Cut(target, name+"=")
			value, _, _ := strings.Cut(rest, "&")
			return value
		}
		page := wire.Page{Items: []wire.Item{}}
		for _, it := range keys {
			if !strings.HasPrefix(it.Key, arg("under")) || it.Key <= arg("since") {
				continue
			}
			if len(page.Items) == 2 {
				page.More = true
				break
			}
			page.Items = append(page.Items, it)
		}
		body, _ := json.Marshal(page)
		reply(httpserve.Response{Status: 200, Body: body})
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s.Addr()
}

func item(key, value string) wire.Item {
	return wire.Item{Key: key, Value: []byte(value), Version: 5}
}

// TestRead reads a ledger of more than a page and adds up what placements use.
func TestRead(t *testing.T) {
	addr := serveStore(t, []wire.Item{
		item("o/job-000001", `{"j":{"nameId":"job-000001","crew":"vision","shards":3,"cpus":2,"accelerators":1},"at":1}`),
		item("p/job-000001/0-3", `{"n":4,"t":[{"i":0,"a":1,"m":"n-1","z":"a","s":1},{"i":2,"a":2,"m":"n-1","z":"a","s":1}]}`),
		item("quota/head", `{"e":7,"f":"why"}`),
		item("quota/r/south", `{"e":9,"s":2,"o":[{"n":2,"p":[{"t":"vision","a":{"c":0,"g":1500}}]}],"r":4}`),
		item("quota/s/audio", `{"c":{"c":8000,"g":0},"g":{"c":0,"g":0},"o":{"c":4000,"g":0},"p":1}`),
		item("quota/s/vision", `{"c":{"c":1152921504606846975,"g":16000},"g":{"c":1152921504606846975,"g":2000},"o":{"c":1152921504606846975,"g":8000},"p":1}`),
	})
	r, err := Read(addr, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	var table, object strings.Builder
	if err := r.WriteTable(&table); err != nil {
		t.Fatal(err)
	}
	for _, row := range [][]string{{"FENCED:", "why"}, {"vision", "- / 16", "- / 2", "- / 8", "4 / 2"}, {"audio", "8 / 0", "4 / 0"}, {"south", "2", "4", "1"}, {"2", "vision", "0 / 1.5"}} {
		found := false
		for _, line := range strings.Split(table.String(), "\n") {
			all := true
			for _, cell := range row {
				all = all && strings.Contains(line, cell)
			}
			found = found || all
		}
		if !found {
			t.Errorf("no row with %q in\n%s", row, table.String())
		}
	}
	if err := r.WriteJSON(&object); err != nil {
		t.Fatal(err)
	}
	var back Report
	if err := json.Unmarshal([]byte(object.String()), &back); err != nil || len(back.Teams) != 2 || back.Teams[1].Limit.CPUs != nil || *back.Teams[1].Owned.GPUs != 8 {
		t.Errorf("JSON reads back as %+v, %v", back, err)
	}
}

// TestReadNothing reads a state service without a ledger, and one that is not there.
func TestReadNothing(t *testing.T) {
	if _, err := Read(serveStore(t, nil), 5*time.Second); !errors.Is(err, ErrNoLedger) {
		t.Errorf("error %v, want that there is no ledger", err)
	}
	if _, err := Read("127.0.0.1:1", time.Second); err == nil {
		t.Error("a state service that is not there was read")
	}
}
