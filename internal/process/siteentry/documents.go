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
	// chunksTimeout bounds one call for chunks. Chunks that were received before it expires are kept.
	chunksTimeout = 700 * time.Millisecond
	// gatherDelay is how long an entry that already has a document waits after a newer one is announced. All
	// replicas announce it within that time; without the delay the first of them would serve all entries.
	gatherDelay = 50 * time.Millisecond
	// fetchBackoff is the first delay after a failed fetch. It doubles up to maxFetchBackoff.
	fetchBackoff    = 20 * time.Millisecond
	maxFetchBackoff = 300 * time.Millisecond
)

// documentsConfig holds the dependencies of documents.
type documentsConfig struct {
	// fetch gets chunks from the replica at address. It may return only some of them.
	fetch func(ctx context.Context, address string, wanted []chunk.Digest) ([]chunk.Chunk, error)
	// apply brings a document into force, with the text of its salt.Sharing. The fields say where it came from.
	apply func(d document.Document, sharedSalt string, origin log.Fields)
	// updated is called with the send time of the latest answered poll once the newest document from the answers
	// is in force.
	updated func(sent time.Time)
	logger  log.Interface
}

// documents brings the newest document that any replica has announced into force. It fetches the missing chunks,
// each from one replica, and keeps them across failures, so that a fetch never starts over.
type documents struct {
	documentsConfig
	offered chan struct{}

	mu sync.Mutex
	// wanted is the newest announced document, wantedSince the time of its first announcement, sources the
	// replicas that have it.
	wanted      topic.Document
	wantedSince time.Time
	sources     []string
	// inForce is the revision of the document in force.
	inForce int64
	// lastPollSent is the send time of the latest answered poll.
	lastPollSent time.Time

	// The following fields are used by run only: the chunks that are present, the bytes received since the last
	// document, and the replicas that last delivered and last failed.
	chunks       map[chunk.Digest]chunk.Chunk
	received     int
	lastSource   string
	failedSource string
}

func newDocuments(c documentsConfig) *documents {
	return &documents{
		documentsConfig: c,
		offered:         make(chan struct{}, 1),
		wanted:          topic.Document{Revision: noRevision},
		inForce:         noRevision,
		chunks:          map[chunk.Digest]chunk.Chunk{},
	}
}

// offer records the document that the replica at address announces. A replica that lags behind announces older
// ones.
func (d *documents) offer(address string, m topic.Document) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m.Revision < d.wanted.Revision {
		return
	}
	if m.Revision > d.wanted.Revision {
		d.wanted, d.wantedSince, d.sources = m, time.Now(), nil
	}
	if !slices.Contains(d.sources, address) {
		d.sources = append(d.sources, address)
	}
	select {
	case d.offered <- struct{}{}:
	default:
	}
}

// pollAnswered records the answer to a poll that was sent at that time. The document in the answer has already
// been passed to offer.
func (d *documents) pollAnswered(sent time.Time) {
	d.mu.Lock()
	if sent.After(d.lastPollSent) {
		d.lastPollSent = sent
	}
	behind := d.wanted.Revision > d.inForce
	d.mu.Unlock()
	if !behind {
		d.updated(sent)
	}
}

// behind returns for how long a newer document than the one in force has been announced, zero if none has.
func (d *documents) behind(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wanted.Revision <= d.inForce {
		return 0
	}
	return now.Sub(d.wantedSince)
}

// run brings documents into force until ctx ends.
func (d *documents) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-d.offered:
			d.catchUp(ctx)
		}
	}
}

// catchUp returns once the newest announced document is in force, or ctx ends.
func (d *documents) catchUp(ctx context.Context) {
	if d.hasOlder() {
		wait.For(ctx, gatherDelay)
	}
	backoff := fetchBackoff
	for ctx.Err() == nil {
		m, source, behind := d.target()
		if !behind {
			return
		}
		if d.advance(ctx, m, source) {
			backoff = fetchBackoff
			continue
		}
		wait.For(ctx, backoff)
		backoff = min(2*backoff, maxFetchBackoff)
	}
}

// hasOlder reports whether a document is in force that is older than the wanted one.
func (d *documents) hasOlder() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.inForce != noRevision && d.inForce < d.wanted.Revision
}

// target returns the newest announced document, a replica to fetch it from, and whether it is newer than the one
// in force.
func (d *documents) target() (m topic.Document, source string, behind bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.wanted.Revision <= d.inForce {
		return d.wanted, "", false
	}
	sources := slices.Clone(d.sources)
	if len(sources) > 1 {
		sources = slices.DeleteFunc(sources, func(a string) bool { return a == d.failedSource })
	}
	return d.wanted, sources[rand.IntN(len(sources))], true
}

// advance brings m into force or fetches some of its missing chunks. It reports whether there was progress.
func (d *documents) advance(ctx context.Context, m topic.Document, source string) bool {
	missing := d.missing(m)
	if len(missing) == 0 {
		return d.install(m)
	}
	err := d.fetchChunks(ctx, source, missing)
	if err == nil && len(d.missing(m)) < len(missing) {
		d.lastSource, d.failedSource = source, ""
		return true
	}
	d.failedSource = source
	f := log.Fields{"replica": source, "number": m.Revision, "lacking": len(missing)}
	if err != nil {
		f["error"] = err.Error()
	}
	event.DocumentNotFetched.Write(d.logger, f)
	return false
}

// missing returns the digests of the chunks of m that aren't present.
func (d *documents) missing(m topic.Document) []chunk.Digest {
	return slices.DeleteFunc(slices.Clone(m.Chunks), func(x chunk.Digest) bool {
		_, ok := d.chunks[x]
		return ok
	})
}

// fetchChunks fetches chunks from the replica and keeps those that are received.
func (d *documents) fetchChunks(ctx context.Context, source string, wanted []chunk.Digest) error {
	ctx, cancel := context.WithTimeout(ctx, chunksTimeout)
	defer cancel()
	all, err := d.fetch(ctx, source, wanted)
	for _, c := range all {
		d.chunks[c.Digest] = c
		d.received += len(c.Data)
	}
	return err
}

// install brings m into force. All of its chunks must be present.
func (d *documents) install(m topic.Document) bool {
	startedAt := time.Now()
	kept := make(map[chunk.Digest]chunk.Chunk, len(m.Chunks))
	all := make([]chunk.Chunk, 0, len(m.Chunks))
	for _, x := range m.Chunks {
		kept[x] = d.chunks[x]
		all = append(all, d.chunks[x])
	}
	v, err := decodeDocument(all)
	if err != nil {
		// At least one chunk is corrupt: all are fetched again.
		d.chunks = map[chunk.Digest]chunk.Chunk{}
		event.DocumentNotFetched.Write(d.logger, log.Fields{"replica": d.lastSource, "number": m.Revision, "error": err.Error()})
		return false
	}
	d.mu.Lock()
	since := d.wantedSince
	d.mu.Unlock()
	d.apply(v, m.SharedSalt, log.Fields{
		"replica": d.lastSource, "bytes": d.received, "shown-ms": time.Since(since).Milliseconds(), "reading-ms": time.Since(startedAt).Milliseconds(),
	})
	d.chunks, d.received = kept, 0
	if sent, newest := d.setInForce(m.Revision); newest {
		d.updated(sent)
	}
	return true
}

// setInForce records the revision of the document in force. It returns the send time of the latest answered poll
// and whether no newer document has been announced.
func (d *documents) setInForce(revision int64) (sent time.Time, newest bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inForce = revision
	return d.lastPollSent, d.wanted.Revision <= revision
}

// decodeDocument returns the document that the chunks contain.
func decodeDocument(all []chunk.Chunk) (document.Document, error) {
	text, err := chunk.Join(all)
	if err != nil {
		return document.Document{}, err
	}
	return codec.Unmarshal[document.Document](text)
}
