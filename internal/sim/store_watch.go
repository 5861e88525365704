package sim

import (
	"net/url"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/brookwalk/brookwalk/httpwire/httpstatus"
	"github.com/brookwalk/brookwalk/wire"
)

// change is an entry of the change log.
type change struct {
	wire.Event
	key      string
	revision uint64
}

// maxLoggedChanges is how many changes the change log keeps for watches.
const maxLoggedChanges = 10000

// watcher is an open watch.
type watcher struct {
	prefix   string
	since    uint64 // the watch is for changes after this revision
	reply    func(int, []byte)
	answered bool
}

// watch serves a watch: it answers as soon as a key with the prefix has changed, or without
// events when the hold time of the watch is over. If the change log no longer reaches back to
// the revision, it answers 410.
func (s *keyValueStore) watch(query url.Values, send responder, reply func(int, []byte)) {
	since, err := strconv.ParseUint(query.Get("since"), 10, 64)
	if err != nil {
		since = 0
	}
	if len(s.changeLog) >= maxLoggedChanges && since < s.changeLog[0].revision {
		send(httpstatus.Gone, emptyBody)
		return
	}
	opened := &watcher{prefix: query.Get("under"), since: since, reply: reply}
	if s.notifyWatcher(opened) {
		return
	}
	s.watchers = append(s.watchers, opened)
	holdMs, err := strconv.Atoi(query.Get("holdMs"))
	if err != nil {
		holdMs = 0
	}
	s.world.after(time.Duration(holdMs)*time.Millisecond, func() {
		if !opened.answered {
			opened.answered = true
			send(httpstatus.OK, wire.Changes{Revision: s.revision, Events: []wire.Event{}})
		}
	})
}

// notifyWatcher answers a watch if there are changes for it, and reports whether it did.
func (s *keyValueStore) notifyWatcher(watcher *watcher) bool {
	changes := wire.Changes{Revision: s.revision}
	newer := sort.Search(len(s.changeLog), func(i int) bool { return s.changeLog[i].revision > watcher.since })
	for _, c := range s.changeLog[newer:] {
		if strings.HasPrefix(c.key, watcher.prefix) {
			changes.Events = append(changes.Events, c.Event)
		}
	}
	if changes.Events == nil || s.world.now < s.outageUntil {
		return false
	}
	watcher.answered = true
	watcher.reply(httpstatus.OK, encode(changes))
	return true
}

// notifyWatchers truncates the change log and answers the watches for which there are changes.
func (s *keyValueStore) notifyWatchers() {
	if excess := len(s.changeLog) - maxLoggedChanges; excess > 0 {
		s.changeLog = s.changeLog[excess:]
	}
	var open []*watcher
	for _, w := range s.watchers {
		if !w.answered && !s.notifyWatcher(w) {
			open = append(open, w)
		}
	}
	s.watchers = open
}
