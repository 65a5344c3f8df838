package siteentry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/wait"
	"hornbeamwood/internal/site/chunk"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/topic"
)

const (
	// chunksTimeout bounds one answer with chunks; what came before it stays.
	chunksTimeout = 700 * time.Millisecond
	// gatherPause is how long an entry that has a document waits after it was shown
	// another one: the replicas show it within that time, and the first of them
	// would serve all entries.
	gatherPause = 50 * time.Millisecond
	// fetchPause and maxFetchPause bound the pause after a failure; it doubles.
	fetchPause    = 20 * time.Millisecond
	maxFetchPause = 300 * time.Millisecond
)

// documentsConfig is what documents needs.
type documentsConfig struct {
	// fetch gets chunks from the replica at address; some may be left out.
	fetch func(ctx context.Context, address string, wanted []chunk.Digest) ([]chunk.Chunk, error)
	// take brings a document into force; the fields tell where it came from.
	take func(d document.Document, origin log.Fields)
	// news is told the latest time at which news were asked for that have come, with the document that was among them in force.
	news   func(asked time.Time)
	logger log.Interface
}

// documents brings the newest document into force that any replica has shown: it
// gets the chunks that the entry lacks, each from one replica, and keeps them over
// failures, so that a fetch never begins anew.
type documents struct {
	documentsConfig
	shown chan struct{}

	mu sync.Mutex
	// wanted is the newest document that was shown, at the time since, by the replicas in sources.
	wanted  topic.Document
	since   time.Time
	sources []string
	// inForce is the number of the document in force.
	inForce int64
	// asked is when the latest news were asked for that have come.
	asked time.Time

	// What follows is used by run only: the chunks that are here, the bytes that were
	// received since the last document, and who answered last or failed last.
	chunks   map[chunk.Digest]chunk.Chunk
	received int
	answered string
	failed   string
}

func newDocuments(c documentsConfig) *documents {
	return &documents{
		documentsConfig: c,
		shown:           make(chan struct{}, 1),
		wanted:          topic.Document{Revision: none},
		inForce:         none,
		chunks:          map[chunk.Digest]chunk.Chunk{},
	}
}

// show notes which document the replica at address shows; one that lags behind shows older ones.
func (d *documents) show(address string, m topic.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Revision < d.wanted.Revision {
		return
	}
	if m.Revision > d.wanted.Revision {
		d.wanted, d.since, d.sources = m, time.Now(), nil
	}
	if !slices.Contains(d.sources, address) {
		d.sources = append(d.sources, address)
	}
	select {
	case d.shown <- struct{}{}:
	default:
	}
}

// heard notes that news have come that were asked for at that time; show has been called with the document among them.
func (d *documents) heard(asked time.Time) {
	d.mu.Lock()
	if asked.After(d.asked) {
		d.asked = asked
	}
	behind := d.wanted.Revision > d.inForce
	d.mu.Unlock()
	if !behind {
		d.news(asked)
	}
}

// run brings documents into force until ctx ends.
func (d *documents) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.shown:
			d.catchUp(ctx)
		}
	}
}

// catchUp returns once the newest document that was shown is in force, or ctx ends.
func (d *documents) catchUp(ctx context.Context) {
	if d.hasOlder() {
		wait.For(ctx, gatherPause)
	}
	pause := fetchPause
	for ctx.Err() == nil {
		m, source, behind := d.target()
		if !behind {
			return
		}
		if d.advance(ctx, m, source) {
			pause = fetchPause
			continue
		}
		wait.For(ctx, pause)
		pause = min(2*pause, maxFetchPause)
	}
}

// hasOlder returns whether a document is in force that a newer one was shown after.
func (d *documents) hasOlder() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inForce != none && d.inForce < d.wanted.Revision
}

// target returns the newest document that was shown, a replica to ask, and whether it isn't in force yet.
func (d *documents) target() (m topic.Document, source string, behind bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wanted.Revision <= d.inForce {
		return d.wanted, "", false
	}
	sources := slices.Clone(d.sources)
	if len(sources) > 1 {
		sources = slices.DeleteFunc(sources, func(a string) bool { return a == d.failed })
	}
	return d.wanted, sources[rand.IntN(len(sources))], true
}

// advance brings m into force, or gets some of what it lacks, and returns whether that was possible.
func (d *documents) advance(ctx context.Context, m topic.Document, source string) bool {
	lacking := d.lacking(m)
	if len(lacking) == 0 {
		return d.complete(m)
	}
	err := d.get(ctx, source, lacking)
	if err == nil && len(d.lacking(m)) < len(lacking) {
		d.answered, d.failed = source, ""
		return true
	}
	d.failed = source
	f := log.Fields{"replica": source, "number": m.Revision, "lacking": len(lacking)}
	if err != nil {
		f["error"] = err.Error()
	}
	event.DocumentNotFetched.Write(d.logger, f)
	return false
}

// lacking returns the names of the chunks of m that aren't here.
func (d *documents) lacking(m topic.Document) []chunk.Digest {
	return slices.DeleteFunc(slices.Clone(m.Chunks), func(x chunk.Digest) bool {
		_, ok := d.chunks[x]
		return ok
	})
}

// get asks the replica for chunks and keeps those that come.
func (d *documents) get(ctx context.Context, source string, wanted []chunk.Digest) error {
	ctx, cancel := context.WithTimeout(ctx, chunksTimeout)
	defer cancel()
	all, err := d.fetch(ctx, source, wanted)
	for _, c := range all {
		d.chunks[c.Digest] = c
		d.received += len(c.Data)
	}
	return err
}

// complete brings m into force, whose chunks are all here.
func (d *documents) complete(m topic.Document) bool {
	began := time.Now()
	kept := make(map[chunk.Digest]chunk.Chunk, len(m.Chunks))
	all := make([]chunk.Chunk, 0, len(m.Chunks))
	for _, x := range m.Chunks {
		kept[x] = d.chunks[x]
		all = append(all, d.chunks[x])
	}
	v, err := decodeDocument(all)
	if err != nil {
		// One of them isn't what it should be: all are fetched again.
		d.chunks = map[chunk.Digest]chunk.Chunk{}
		event.DocumentNotFetched.Write(d.logger, log.Fields{"replica": d.answered, "number": m.Revision, "error": err.Error()})
		return false
	}
	d.mu.Lock()
	since := d.since
	d.mu.Unlock()
	d.take(v, log.Fields{
		"replica": d.answered, "bytes": d.received, "shown-ms": time.Since(since).Milliseconds(), "reading-ms": time.Since(began).Milliseconds(),
	})
	d.chunks, d.received = kept, 0
	if asked, newest := d.setInForce(m.Revision); newest {
		d.news(asked)
	}
	return true
}

// setInForce notes which document is in force; it returns when the latest news were
// asked for, and whether no newer document was among them.
func (d *documents) setInForce(number int64) (asked time.Time, newest bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inForce = number
	return d.asked, d.wanted.Revision <= number
}

// decodeDocument returns the document that the chunks hold.
func decodeDocument(all []chunk.Chunk) (document.Document, error) {
	text, err := chunk.Join(all)
	if err != nil {
		return document.Document{}, err
	}
	return codec.Unmarshal[document.Document](text)
}
