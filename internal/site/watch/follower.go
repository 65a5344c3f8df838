package watch

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/node/rpc"
)

const (
	// answerSlack is what an answer may take beyond the wait: a round trip under loss.
	answerSlack = 700 * time.Millisecond
	// firstPause and maxPause bound the pause after a failure; it doubles.
	firstPause = 50 * time.Millisecond
	maxPause   = 500 * time.Millisecond
)

// FollowerConfig is what a Follower needs.
type FollowerConfig struct {
	// Method is the call that is made.
	Method rpc.Method[Poll, Answer]
	// Node makes the calls.
	Node rpc.Node
	// Watcher names this process with its start.
	Watcher string
	// Entry says that this process takes callers' requests.
	Entry bool
	// Take gets each answer of the replica at address to a poll that was sent at that time.
	Take func(address string, a Answer, sent time.Time)
	// Prepare, if any, completes each poll of the replica at address before it is sent.
	Prepare func(address string, p *Poll)
	// Logger takes the events.
	Logger log.Interface
}

// Follower polls replicas, each by a goroutine of its own.
type Follower interface {
	// Follow sets the addresses that are polled.
	Follow(ctx context.Context, addresses []string)
	// Heard returns how long ago the replica at address answered, and false when it never did.
	Heard(address string) (time.Duration, bool)
	// Wait returns once all polls have ended, after their context has.
	Wait()
}

type follower struct {
	config FollowerConfig
	mu     sync.Mutex
	polls  map[string]context.CancelFunc
	heard  map[string]time.Time
	ended  sync.WaitGroup
}

// NewFollower returns a Follower of nobody.
func NewFollower(c FollowerConfig) Follower {
	return &follower{config: c, polls: map[string]context.CancelFunc{}, heard: map[string]time.Time{}}
}

// Follow implements Follower.
func (f *follower) Follow(ctx context.Context, addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = true
		if _, ok := f.polls[a]; ok {
			continue
		}
		polling, cancel := context.WithCancel(ctx)
		f.polls[a] = cancel
		f.ended.Go(func() { f.poll(polling, a) })
	}
	for a, cancel := range f.polls {
		if !wanted[a] {
			cancel()
			delete(f.polls, a)
		}
	}
}

// Heard implements Follower.
func (f *follower) Heard(address string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.heard[address]
	return time.Since(at), ok
}

// Wait implements Follower.
func (f *follower) Wait() {
	f.ended.Wait()
}

// poll asks the replica at address until ctx ends.
func (f *follower) poll(ctx context.Context, address string) {
	// What a replica knows already is wanted at once, also where it is nothing yet.
	p := Poll{Watcher: f.config.Watcher, Entry: f.config.Entry}
	pause, lost := firstPause, true
	for ctx.Err() == nil {
		f.prepare(address, &p)
		sent := time.Now()
		a, err := f.ask(ctx, address, p)
		if err != nil {
			if !lost {
				lost = true
				event.ReplicaLost.Write(f.config.Logger, log.Fields{"replica": address, "error": err.Error()})
			}
			wait.For(ctx, pause)
			pause = min(2*pause, maxPause)
			// What was missed is wanted now, and whether anything was.
			p.Wait = 0
			continue
		}
		if lost {
			lost = false
			event.ReplicaRegained.Write(f.config.Logger, log.Fields{"replica": address, "epoch": a.Epoch, "rows": len(a.Rows)})
		}
		pause = firstPause
		p.Wait = maxWait
		p.Epoch, p.Number, p.Catching = a.Epoch, a.Number, a.More
		f.mu.Lock()
		f.heard[address] = time.Now()
		f.mu.Unlock()
		f.config.Take(address, a, sent)
	}
}

// prepare completes a poll. What was left out while another replica relayed it is asked for again.
func (f *follower) prepare(address string, p *Poll) {
	if f.config.Prepare == nil {
		return
	}
	relayed := p.Relayed
	f.config.Prepare(address, p)
	if relayed && !p.Relayed {
		p.Number = 0
	}
}

func (f *follower) ask(ctx context.Context, address string, p Poll) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Wait+answerSlack)
	defer cancel()
	return rpc.Call(ctx, f.config.Node, address, f.config.Method, p)
}
