package parts

import (
	"container/list"
	"time"
)

// guess is a part that was sent to an engine.
type guess struct {
	hash   uint64
	tokens int
	since  time.Time
}

// engine is what is known of one engine's memory.
type engine struct {
	// order holds the guesses, the latest used in front: what was used longest ago is gone first.
	order   *list.List
	guesses map[uint64]*list.Element
	used    int
	// kept is what the engine says of itself, of parts of at least so many tokens; nil when it isn't known.
	kept  map[uint64]int
	least int
}

func newEngine() *engine {
	return &engine{order: list.New(), guesses: map[uint64]*list.Element{}}
}

// note remembers a part that is sent there and returns those that must be gone for it.
func (e *engine) note(h uint64, tokens, capacity int, now time.Time) (gone []uint64) {
	if at, ok := e.guesses[h]; ok {
		e.order.MoveToFront(at)
		g := at.Value.(guess)
		if e.followed(g.tokens) && now.Sub(g.since) > pendingFor {
			at.Value = guess{h, tokens, now}
		}
		return nil
	}
	e.guesses[h] = e.order.PushFront(guess{h, tokens, now})
	e.used += tokens
	for e.used > int(memoryShare*float64(capacity)) && e.order.Len() > 1 {
		last := e.order.Back().Value.(guess)
		e.drop(last.hash)
		if _, ok := e.kept[last.hash]; !ok {
			gone = append(gone, last.hash)
		}
	}
	return gone
}

func (e *engine) drop(h uint64) {
	at, ok := e.guesses[h]
	if !ok {
		return
	}
	e.used -= e.order.Remove(at).(guess).tokens
	delete(e.guesses, h)
}

// followed returns whether the engine says of parts of that size whether it has them.
func (e *engine) followed(tokens int) bool {
	return e.kept != nil && tokens >= e.least
}

// confirm takes what the engine says of itself and returns the parts that it has dropped.
func (e *engine) confirm(kept map[uint64]int, least int) (gone []uint64) {
	for h := range e.kept {
		if _, ok := kept[h]; !ok {
			e.drop(h)
			gone = append(gone, h)
		}
	}
	e.kept, e.least = kept, least
	return gone
}

// holds returns whether the engine has the part, and since when it is guessed to.
func (e *engine) holds(h uint64, tokens int, now time.Time) (time.Time, bool) {
	if n, ok := e.kept[h]; ok {
		return time.Time{}, n+partialSlack >= tokens
	}
	at, ok := e.guesses[h]
	if !ok {
		return time.Time{}, false
	}
	since := at.Value.(guess).since
	return since, !e.followed(tokens) || now.Sub(since) <= pendingFor
}

// all returns every part that the engine has or is guessed to have.
func (e *engine) all() []uint64 {
	all := make([]uint64, 0, len(e.guesses)+len(e.kept))
	for h := range e.guesses {
		all = append(all, h)
	}
	for h := range e.kept {
		all = append(all, h)
	}
	return all
}
