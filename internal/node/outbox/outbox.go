package outbox

import (
	"context"
	"sync"
)

// Config configures an Outbox.
type Config[T any] struct {
	// Length is the largest number of messages queued for one peer; further ones are dropped.
	Length int
	// Send sends one message to a peer. It must return within a bounded time if the peer does not respond.
	Send func(ctx context.Context, peer string, m T)
}

// Outbox queues messages per peer.
type Outbox[T any] interface {
	// Post queues a message without blocking and drops it if the peer's queue is full.
	Post(peer string, m T)
	// Close drops the queued messages and stops the goroutines.
	Close()
}

type outbox[T any] struct {
	config Config[T]
	ctx    context.Context
	cancel context.CancelFunc
	ended  sync.WaitGroup

	mu     sync.Mutex
	queues map[string]chan T
	closed bool
}

// New returns an Outbox without peers. A peer's goroutine starts with the first message to it.
func New[T any](c Config[T]) Outbox[T] {
	ctx, cancel := context.WithCancel(context.Background())
	return &outbox[T]{config: c, ctx: ctx, cancel: cancel, queues: make(map[string]chan T)}
}

// Post implements Outbox.
func (o *outbox[T]) Post(peer string, m T) {
	select {
	case o.queue(peer) <- m:
	default:
	}
}

// Close implements Outbox.
func (o *outbox[T]) Close() {
	o.mu.Lock()
	o.closed = true
	o.mu.Unlock()
	o.cancel()
	o.ended.Wait()
}

// queue returns the peer's queue and creates it if necessary. After Close a new queue has no goroutine that reads from it.
func (o *outbox[T]) queue(peer string) chan T {
	o.mu.Lock()
	defer o.mu.Unlock()
	q, ok := o.queues[peer]
	if ok {
		return q
	}
	q = make(chan T, o.config.Length)
	o.queues[peer] = q
	if !o.closed {
		o.ended.Go(func() { o.drain(peer, q) })
	}
	return q
}

func (o *outbox[T]) drain(peer string, q chan T) {
	for {
		select {
		case <-o.ctx.Done():
			return
		case m := <-q:
			o.config.Send(o.ctx, peer, m)
		}
	}
}
