package watch

import (
	"context"
	"math/rand/v2"
	"slices"
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
	// firstPatience is how long the first answer of a replica may take until the next
	// one is asked as well, beginPauses how many times as long as the answer took the
	// pause before that is.
	firstPatience = 200 * time.Millisecond
	beginPauses   = 2
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
	// Apply gets each answer of the replica at address to a poll that was sent at that time.
	Apply func(address string, a Answer, sent time.Time)
	// Prepare, if any, completes each poll of the replica at address before it is sent.
	Prepare func(address string, p *Poll)
	// Sequential has replicas that weren't polled before asked one after the other, each
	// once the one before it has answered or is slow, in an order of this process's own.
	//
	// A handshake costs a replica a millisecond. When hundreds of entries come back
	// together and each asks all replicas at once, none gets an answer for seconds.
	Sequential bool
	// Logger takes the events.
	Logger log.Interface
}

// Follower polls replicas, each by a goroutine of its own.
type Follower interface {
	// Follow sets the addresses that are polled.
	Follow(ctx context.Context, addresses []string)
	// SinceAnswer returns how long ago the replica at address answered, and false when it never did.
	SinceAnswer(address string) (time.Duration, bool)
	// Wait returns once all polls have ended, after their context has.
	Wait()
}

type follower struct {
	config FollowerConfig
	mu     sync.Mutex
	polls  map[string]context.CancelFunc
	heard  map[string]time.Time
	// queue are the replicas that wait for their first poll, queued says that somebody begins with them.
	queue  []newcomer
	queued bool
	ended  sync.WaitGroup
}

// newcomer is a replica that is polled for the first time.
type newcomer struct {
	address string
	ctx     context.Context
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
		if f.config.Sequential {
			f.queue = append(f.queue, newcomer{a, polling})
			continue
		}
		f.ended.Go(func() { f.poll(polling, a, func() {}) })
	}
	if len(f.queue) > 0 && !f.queued {
		f.queued = true
		f.ended.Go(f.begin)
	}
	for a, cancel := range f.polls {
		if !wanted[a] {
			cancel()
			delete(f.polls, a)
		}
	}
}

// begin begins with those that wait, one after the other.
//
// The pause after each grows with the time that its answer took: where replicas answer
// at once all are polled within some hundredths of a second, where they are busy their
// processor is left to what is more urgent. Who gives no answer is perhaps down, and
// the next one is asked without a pause.
func (f *follower) begin() {
	for {
		n, ok := f.next()
		if !ok {
			return
		}
		began, answered := time.Now(), make(chan struct{})
		var once sync.Once
		f.ended.Go(func() { f.poll(n.ctx, n.address, func() { once.Do(func() { close(answered) }) }) })
		select {
		case <-answered:
			wait.For(n.ctx, beginPauses*time.Since(began))
		case <-time.After(firstPatience):
		case <-n.ctx.Done():
		}
	}
}

// next takes one of those that wait, drawn at random.
func (f *follower) next() (newcomer, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue = slices.DeleteFunc(f.queue, func(n newcomer) bool { return n.ctx.Err() != nil })
	if len(f.queue) == 0 {
		f.queued = false
		return newcomer{}, false
	}
	i := rand.IntN(len(f.queue))
	n := f.queue[i]
	f.queue = slices.Delete(f.queue, i, i+1)
	return n, true
}

// SinceAnswer implements Follower.
func (f *follower) SinceAnswer(address string) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.heard[address]
	return time.Since(at), ok
}

// Wait implements Follower.
func (f *follower) Wait() {
	f.ended.Wait()
}

// poll asks the replica at address until ctx ends, and calls answered at its answers.
func (f *follower) poll(ctx context.Context, address string, answered func()) {
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
		answered()
		pause = firstPause
		p.Wait = maxWait
		p.Epoch, p.Revision, p.CatchingUp = a.Epoch, a.Revision, a.More
		f.mu.Lock()
		f.heard[address] = time.Now()
		f.mu.Unlock()
		f.config.Apply(address, a, sent)
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
		p.Revision = 0
	}
}

func (f *follower) ask(ctx context.Context, address string, p Poll) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Wait+answerSlack)
	defer cancel()
	return rpc.Call(ctx, f.config.Node, address, f.config.Method, p)
}
