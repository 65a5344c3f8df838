package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/node/rpc"
)

const (
	// answerMargin is how long an answer may take beyond the wait: a round trip with packet loss.
	answerMargin = 700 * time.Millisecond
	// firstBackoff and maxBackoff bound the backoff after a failure, which doubles.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// firstAnswerTimeout is how long the first answer of a replica may take before the next
	// replica is polled as well. After an answer in time the next replica is polled after a
	// pause of firstPollPauseFactor times the duration of that answer.
	firstAnswerTimeout   = 200 * time.Millisecond
	firstPollPauseFactor = 2
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	// Method is the RPC method that is polled.
	Method rpc.Method[Poll, Answer]
	// Node makes the calls.
	Node rpc.Node
	// Watcher identifies this process and its start.
	Watcher string
	// Entry is set when this process is an entry.
	Entry bool
	// Zone is this process's availability zone; empty leaves it out of the polls.
	Zone string
	// Apply is called with each answer of the replica at address and the time when its poll was sent.
	Apply func(address string, a Answer, sent time.Time)
	// Prepare, if set, completes each poll of the replica at address before it is sent.
	Prepare func(address string, p *Poll)
	// Sequential has the first polls of replicas sent one after the other in random order,
	// each once the previous replica has answered or is slow.
	//
	// A handshake costs a replica a millisecond. When hundreds of entries restart
	// together and each polls all replicas at once, none gets an answer for seconds.
	Sequential bool
	// Logger takes the events.
	Logger log.Interface
	// Metrics counts what could not be read; nil for no counters.
	Metrics *metrics.Set
}

// Follower polls replicas, each in its own goroutine.
type Follower interface {
	// Follow sets the addresses to poll.
	Follow(ctx context.Context, addresses []string)
	// SinceAnswer returns how long ago the replica at address last answered, and false when it never did.
	SinceAnswer(address string) (time.Duration, bool)
	// Blind returns whether answers arrive and none could be read for some seconds.
	Blind() bool
	// Wait returns once all polls have ended, which they do after their context has ended.
	Wait()
}

type follower struct {
	config      FollowerConfig
	readability *readability
	mu          sync.Mutex
	cancels     map[string]context.CancelFunc
	lastAnswer  map[string]time.Time
	// queue holds the replicas that wait for their first poll; draining is set while a goroutine sends these polls.
	queue    []firstPoll
	draining bool
	running  sync.WaitGroup
}

// firstPoll is the first poll of a replica.
type firstPoll struct {
	address string
	ctx     context.Context
}

// NewFollower returns a Follower without addresses.
func NewFollower(c FollowerConfig) Follower {
	return &follower{config: c, readability: newReadability(c), cancels: map[string]context.CancelFunc{}, lastAnswer: map[string]time.Time{}}
}

// Follow implements Follower.
func (f *follower) Follow(ctx context.Context, addresses []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	wanted := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		wanted[a] = true
		if _, ok := f.cancels[a]; ok {
			continue
		}
		pollCtx, cancel := context.WithCancel(ctx)
		f.cancels[a] = cancel
		if f.config.Sequential {
			f.queue = append(f.queue, firstPoll{a, pollCtx})
			continue
		}
		f.running.Go(func() { f.poll(pollCtx, a, func() {}) })
	}
	if len(f.queue) > 0 && !f.draining {
		f.draining = true
		f.running.Go(f.drainQueue)
	}
	for a, cancel := range f.cancels {
		if !wanted[a] {
			cancel()
			delete(f.cancels, a)
		}
	}
}

// drainQueue sends the first polls in the queue one after the other.
//
// The pause after each grows with the time that its answer took. When replicas answer
// at once, all are polled within some hundredths of a second. When they are busy, their
// CPU is left to more urgent work. A replica that doesn't answer may be down, so
// the next one is polled without a pause.
func (f *follower) drainQueue() {
	for {
		n, ok := f.next()
		if !ok {
			return
		}
		started, answered := time.Now(), make(chan struct{})
		var once sync.Once
		f.running.Go(func() { f.poll(n.ctx, n.address, func() { once.Do(func() { close(answered) }) }) })
		select {
		case <-answered:
			wait.For(n.ctx, firstPollPauseFactor*time.Since(started))
		case <-time.After(firstAnswerTimeout):
		case <-n.ctx.Done():
		}
	}
}

// next removes a random first poll from the queue.
func (f *follower) next() (firstPoll, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queue = slices.DeleteFunc(f.queue, func(n firstPoll) bool { return n.ctx.Err() != nil })
	if len(f.queue) == 0 {
		f.draining = false
		return firstPoll{}, false
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
	at, ok := f.lastAnswer[address]
	return time.Since(at), ok
}

// Blind implements Follower.
func (f *follower) Blind() bool {
	return f.readability.blind(time.Now())
}

// Wait implements Follower.
func (f *follower) Wait() {
	f.running.Wait()
}

// poll polls the replica at address until ctx ends, and calls answered after each answer.
func (f *follower) poll(ctx context.Context, address string, answered func()) {
	// The first poll does not wait for a change: the replica answers at once, even when it has no rows yet.
	p := Poll{Watcher: f.config.Watcher, Entry: f.config.Entry, Zone: f.config.Zone}
	backoff, lost := firstBackoff, true
	for ctx.Err() == nil {
		f.prepare(address, &p)
		sent := time.Now()
		a, err := f.call(ctx, address, p)
		if err != nil {
			f.readability.failed(address, err, time.Now())
			if !lost {
				lost = true
				event.ReplicaLost.Write(f.config.Logger, log.Fields{"replica": address, "error": err.Error()})
			}
			wait.For(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			// After a failure the next poll does not wait for a change, so that missed rows arrive at once.
			p.Wait = 0
			continue
		}
		if lost {
			lost = false
			event.ReplicaRegained.Write(f.config.Logger, log.Fields{"replica": address, "epoch": a.Epoch, "rows": len(a.Rows)})
		}
		answered()
		f.readability.readable(address, a, time.Now())
		backoff = firstBackoff
		p.Wait = maxWait
		p.Epoch, p.Revision, p.CatchingUp = a.Epoch, a.Revision, a.More
		f.mu.Lock()
		f.lastAnswer[address] = time.Now()
		f.mu.Unlock()
		f.config.Apply(address, a, sent)
	}
}

// prepare completes a poll. When rows are no longer relayed by another replica, all rows are
// requested again, since relayed ones were left out of the answers.
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

func (f *follower) call(ctx context.Context, address string, p Poll) (Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, p.Wait+answerMargin)
	defer cancel()
	return rpc.Call(ctx, f.config.Node, address, f.config.Method, p)
}
