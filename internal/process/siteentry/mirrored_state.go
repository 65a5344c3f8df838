package siteentry

import (
	"context"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/node/rpc"
	"hornbeamwood/internal/site/watch"
)

const (
	// mirrorPollWait is how long a relay may hold a poll.
	mirrorPollWait = time.Second
	// mirrorRetryDelay is the delay before an unanswered poll is retried.
	mirrorRetryDelay = 50 * time.Millisecond
)

// followHolders polls the relay for the states of lease holders until ctx ends, while the site has many entries.
func (h *hints) followHolders(ctx context.Context) {
	for catchingUp := false; ctx.Err() == nil; {
		relay := h.site.currentRelay()
		if relay == "" || !h.site.isRelayed() {
			wait.For(ctx, relayCheckInterval)
			continue
		}
		sent := time.Now()
		all, err := h.pollHolders(ctx, relay, catchingUp)
		if err != nil {
			wait.For(ctx, mirrorRetryDelay)
			continue
		}
		catchingUp = false
		for _, state := range all {
			catchingUp = catchingUp || state.More
			h.site.applyMirroredState(state, sent, h.config.Logger)
		}
	}
}

func (h *hints) pollHolders(ctx context.Context, relay string, catchingUp bool) ([]watch.HolderState, error) {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	return rpc.Call(ctx, h.node, relay, watch.HolderStates, watch.HolderStatesPoll{
		Watcher: h.watcher, Positions: h.site.mirrorPositions(), CatchingUp: catchingUp, Wait: mirrorPollWait,
	})
}

// isRelayed reports whether the states of lease holders come through the relay.
func (s *site) isRelayed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.relayed
}

// setRelayed sets whether the states of lease holders come through the relay. State that was received over the
// other path is dropped, since its sender no longer tracks which changes this entry lacks.
func (s *site) setRelayed(relayed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if relayed == s.relayed {
		return
	}
	s.relayed = relayed
	clear(s.mirroredStates)
	for _, state := range s.directStates {
		state.leases = nil
	}
}

// mirrorPositions returns the position up to which this entry has each of the relay's mirrors.
func (s *site) mirrorPositions() map[string]watch.Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string]watch.Position, len(s.mirroredStates))
	for address, state := range s.mirroredStates {
		all[address] = state.position
	}
	return all
}

// applyMirroredState applies the relay's mirror of a lease holder's rows from the answer to a poll that was sent
// at that time.
func (s *site) applyMirroredState(state watch.HolderState, sent time.Time, logger log.Interface) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.relayed {
		return
	}
	r, ok := s.mirroredStates[state.Address]
	if !ok || r.position.Epoch != state.Position.Epoch {
		// The relay sends all rows of a new mirror.
		r = newReplicaState(state.Epoch)
		s.mirroredStates[state.Address] = r
	}
	r.position = state.Position
	// The mirror is no fresher than the relay's own poll, and the relay may have held its answer.
	r.recordContact(state.Fencing, sent.Add(-state.Age), state.More)
	for _, x := range state.Rows {
		if err := r.apply(x); err != nil {
			event.NoticeRefused.Write(logger, log.Fields{"peer": state.Address, "notice": "relayed row", "topic": x.Topic, "key": x.Key, "error": err.Error()})
		}
	}
	s.signalStoresKnown()
}
