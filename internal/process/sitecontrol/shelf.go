package sitecontrol

import (
	"context"
	"strconv"
	"sync"
	"time"

	"hornbeamwood/internal/site/stores"
	"hornbeamwood/internal/site/topic"
)

// shelf is a store that is followed.
type shelf struct {
	mu     sync.Mutex
	stock  *stores.StoreInventory
	cancel context.CancelFunc
	// listed is when the whole was last read, asked says that the store was asked at all,
	// up that it answered last; only watch uses them.
	listed    time.Time
	asked, up bool
	// shown is the board's number of the last row of the whole.
	shown uint64
	// left says that the store is no longer followed.
	left bool
}

// maxShelfParts bounds the parts in one row, which takes 14 bytes for each of them:
// a row has to be through an entry's link before its poll times out.
const maxShelfParts = 4096

// showShelf puts the present state of many parts into as few rows as may be, while the store is followed.
func (l *librarian) showShelf(x *shelf, size string, whole bool, parts []stores.Part) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.left {
		return
	}
	l.showParts(x, size, whole, parts[:min(len(parts), maxShelfParts)])
	for at := maxShelfParts; at < len(parts); at += maxShelfParts {
		l.showParts(x, size+"/"+strconv.Itoa(at), false, parts[at:min(len(parts), at+maxShelfParts)])
	}
}

// showParts puts the present state of parts into one row; the caller holds the shelf's lock.
func (l *librarian) showParts(x *shelf, key string, whole bool, parts []stores.Part) {
	s := topic.StoreSummary{Address: x.stock.Address, Listed: time.Now().UnixNano(), Whole: whole}
	for _, p := range parts {
		if tokens, ok := x.stock.Fetchable(p); ok {
			s.Parts = append(s.Parts, p.Hash())
			s.Tokens = append(s.Tokens, uint32(tokens))
		}
	}
	x.shown = max(x.shown, l.put(topic.StoreSummaries, s.Address+"/"+key, s))
}

// bySize divides the parts into those that are worth a row at once and the others.
func bySize(all []stores.Part, sizes map[stores.Part]int) (long, short []stores.Part) {
	for _, p := range all {
		if sizes[p] >= longPart {
			long = append(long, p)
		} else {
			short = append(short, p)
		}
	}
	return long, short
}

// show puts the parts' present state on the board and returns the number that includes it.
func (l *librarian) show(x *shelf, parts []stores.Part) uint64 {
	number := uint64(0)
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, p := range parts {
		tokens, ok := x.stock.Fetchable(p)
		if n := l.showPart(x, p.AtStore(x.stock.Address).Key(), tokens, ok); !ok {
			number = max(number, n)
		}
	}
	return number
}

// showPart puts the row of one part on the board and returns its number.
//
// A row that says the same as under an earlier lease keeps its number, and the list
// that was shown since goes before it: entries would go on fetching a part that is
// about to be freed. Such a row is changed and changed back.
func (l *librarian) showPart(x *shelf, key string, tokens int, whole bool) uint64 {
	put := func(whole bool, tokens int) uint64 {
		if whole {
			return l.put(topic.Parts, key, tokens)
		}
		return l.board.Put(topic.Parts, key, nil)
	}
	n := put(whole, tokens)
	if n >= x.shown {
		return n
	}
	put(!whole, 0)
	return put(whole, tokens)
}

// leave ends the following of the store.
func (x *shelf) leave() {
	x.cancel()
	x.mu.Lock()
	defer x.mu.Unlock()
	x.left = true
}

// isLeft returns whether the store is followed no more.
func (x *shelf) isLeft() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.left
}
