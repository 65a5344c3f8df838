package main

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// feed holds the events of an engine or a store.
type feed struct {
	all     [][]any
	changed chan struct{}
}

func newFeed() feed { return feed{changed: make(chan struct{})} }

// add adds an event; the caller holds the lock of the feed's owner.
func (f *feed) add(sign string, p part, tokens int) {
	f.all = append(f.all, []any{len(f.all) + 1, sign, p.salt, p.id, tokens, modelName})
	f.signal()
}

// restart drops all events; the caller holds the lock.
func (f *feed) restart() {
	f.all = nil
	f.signal()
}

func (f *feed) signal() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// since returns the events for which a poll asks. It waits as long as the poll wants until there are some.
func (f *feed) since(q *http.Request, mu *sync.Mutex) (next int, lost bool, all [][]any) {
	known, _ := strconv.Atoi(q.URL.Query().Get("since"))
	wait, _ := strconv.Atoi(q.Header.Get(names["wait"]))
	end := time.NewTimer(time.Duration(min(wait, 1000)) * time.Millisecond)
	defer end.Stop()
	for {
		mu.Lock()
		changed, news := f.changed, len(f.all) != known
		mu.Unlock()
		if news {
			break
		}
		select {
		case <-changed:
			continue
		case <-end.C:
		case <-q.Context().Done():
		}
		break
	}
	mu.Lock()
	defer mu.Unlock()
	return len(f.all), known > len(f.all), append([][]any{}, f.all[min(known, len(f.all)):]...)
}
