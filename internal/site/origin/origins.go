package origin

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hornbeamwood/internal/node/rpc"
)

const (
	// copies is how many replicas keep an origin, so that one of them may be lost.
	copies = 2
	// maxAsked bounds the replicas that are asked to keep an origin.
	maxAsked = 4
	// recordWait is how long the first event of a stream waits until a replica keeps its origin. A stream whose
	// origin arrives later can't be resumed in the meantime.
	recordWait = 50 * time.Millisecond
	// recordTimeout bounds the call to one replica.
	recordTimeout = time.Second
	// findTimeout bounds the search for an origin; a resumed stream is late by then.
	findTimeout = 400 * time.Millisecond
)

// searchAgain is how long after each search that has found nothing another one begins: the origin may be on its way if
// recording it took longer than recordWait.
var searchAgain = []time.Duration{60 * time.Millisecond, 100 * time.Millisecond}

// Outcome is what a search for an origin has brought.
type Outcome string

const (
	// Known means that the origin was found.
	Known Outcome = "known"
	// Unknown means that no replica knows the origin.
	Unknown Outcome = "unknown"
	// Unanswered means that no replica that answered knows the origin, and that some didn't answer.
	Unanswered Outcome = "unanswered"
	// Conflicting means that several streams began under the same key.
	Conflicting Outcome = "conflicting"
)

// Replica is a control replica.
type Replica struct {
	// Address is the address of its rpc.Node, Zone its availability zone if that is known.
	Address, Zone string
	// Silent is set if it should have answered the entry's polls and hasn't.
	Silent bool
}

// Config configures Origins.
type Config struct {
	// Node connects the entry to the replicas.
	Node rpc.Node
	// Zone is the entry's availability zone.
	Zone string
	// Replicas returns the known replicas.
	Replicas func() []Replica
	// Metrics receives the counters.
	Metrics *metrics.Set
}

// Origins records how an entry's streams begin, and finds out how those began that callers resume.
type Origins interface {
	// Record records an origin for its lifetime. It returns once a replica has it, at the latest after recordWait.
	Record(k Key, o Origin, lifetime time.Duration)
	// Find returns how the stream of an attempt began, at any entry.
	Find(ctx context.Context, k Key) (Found, Outcome)
	// OnlySoftware returns the version of the software of all servers that the service has had lately, as a quorum of
	// the replicas confirms. It returns false if there were several or none, or if no replica confirms it.
	OnlySoftware(ctx context.Context, service string) (string, bool)
}

type origins struct {
	Config
	// local holds the origins that this entry has recorded; they are known here without a replica.
	local    Store
	waited   *metrics.Histogram
	late     *metrics.Counter
	outcomes map[Outcome]*metrics.Counter
}

// New returns Origins.
func New(c Config) Origins {
	o := &origins{Config: c, local: NewStore(), outcomes: map[Outcome]*metrics.Counter{}}
	o.waited = c.Metrics.NewHistogram("hornbeamwood_origin_record_seconds")
	o.late = c.Metrics.NewCounter("hornbeamwood_origin_late_total")
	for _, x := range []Outcome{Known, Unknown, Unanswered, Conflicting} {
		o.outcomes[x] = c.Metrics.NewCounter(`hornbeamwood_origin_searches_total{outcome="` + string(x) + `"}`)
	}
	return o
}

// Record implements Origins.
func (o *origins) Record(k Key, x Origin, lifetime time.Duration) {
	start := time.Now()
	o.local.Put(k, x, lifetime, start)
	kept := make(chan struct{}, 1)
	go o.spread(began{Key: k, Origin: x, Lifetime: lifetime}, kept)
	wait := time.NewTimer(recordWait)
	defer wait.Stop()
	select {
	case <-kept:
	case <-wait.C:
		o.late.Inc()
	}
	o.waited.UpdateDuration(start)
}

// spread has the origin kept by some replicas, and by further ones in place of those that fail. It signals when
// the first of them has it.
func (o *origins) spread(b began, kept chan<- struct{}) {
	targets := o.targets()
	outcomes := make(chan error, len(targets))
	asked, pending, missing := 0, 0, copies
	for {
		for ; missing > pending && asked < len(targets); asked++ {
			pending++
			address := targets[asked].Address
			go func() { outcomes <- o.record(address, b) }()
		}
		if pending == 0 {
			return
		}
		err := <-outcomes
		pending--
		if err != nil {
			continue
		}
		missing--
		select {
		case kept <- struct{}{}:
		default:
		}
	}
}

func (o *origins) record(address string, b began) error {
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	_, err := rpc.Call(ctx, o.Node, address, recordMethod, b)
	return err
}

// targets returns the replicas that should keep an origin, in the order in which they are asked: one in the entry's
// availability zone, which answers first, then one in another, so that the loss of a zone leaves one of the two.
func (o *origins) targets() []Replica {
	live := slices.DeleteFunc(o.Replicas(), func(r Replica) bool { return r.Silent })
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	near := slices.IndexFunc(live, func(r Replica) bool { return r.Zone == o.Zone })
	if near > 0 {
		live[0], live[near] = live[near], live[0]
	}
	if len(live) > 1 {
		far := slices.IndexFunc(live[1:], func(r Replica) bool { return r.Zone != live[0].Zone })
		if far > 0 {
			live[1], live[1+far] = live[1+far], live[1]
		}
	}
	return live[:min(len(live), maxAsked)]
}
