package model

import (
	"slices"
	"time"

	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/policy/route"
)

// engine simulates a model engine.
type engine struct {
	index       int
	identity    string
	clock       *clock
	profile     Profile
	tokens      int // per piece
	stores      []*store
	memory      *lru
	jobs        []*job // jobs without a first token, in the order in which they are computed
	decoding    map[*job]bool
	stepRunning bool
	down        bool
	count       uint64
	reports     uint64
	// fifo engines ignore priorities and compute requests in order of arrival
	fifo         bool
	changed      func(key uint64, held bool)
	computed     func(key uint64) bool // marks the piece as computed and returns whether some engine had computed it before
	missingPiece func()
}

// submit accepts a job. Its pieces come from memory, are imported from the stores of its plan or
// are computed.
func (e *engine) submit(j *job) {
	if j.cancelled {
		return
	}
	if e.down {
		j.failed()
		return
	}
	e.count++
	j.order = e.count
	j.remaining = j.extraTokens
	e.enqueue(j)
	for i, key := range j.pieces {
		e.preparePiece(j, i, key)
	}
	e.step()
}

func (e *engine) preparePiece(j *job, i int, key uint64) {
	if e.memory.touch(key) {
		e.pin(j, key)
		return
	}
	if j.plan[i].Source != route.Import {
		e.compute(j, key)
		return
	}
	j.imports++
	e.stores[j.plan[i].Copy.Store].read(key, e.profile.PieceBytes, func(ok bool) { e.arrived(j, key, ok) })
}

func (e *engine) pin(j *job, key uint64) {
	e.memory.pin(key)
	j.pinned = append(j.pinned, key)
}

func (e *engine) compute(j *job, key uint64) {
	j.remaining += e.tokens
	j.missing = append(j.missing, key)
}

func (e *engine) arrived(j *job, key uint64, ok bool) {
	j.imports--
	if j.cancelled || e.down {
		return
	}
	if ok {
		e.insert(key)
		e.pin(j, key)
	} else {
		e.compute(j, key)
	}
	e.step()
}

func (e *engine) insert(key uint64) {
	if e.memory.add(key) {
		e.changed(key, true)
	}
}

// share is the part of a step that is assigned to a job.
type share struct {
	job    *job
	tokens int
}

// step computes one chunk, filled from the ready jobs in order.
func (e *engine) step() {
	if e.stepRunning || e.down {
		return
	}
	batch, sum := e.batch()
	if len(batch) == 0 {
		return
	}
	e.stepRunning = true
	e.clock.after(e.duration(sum), func() {
		e.stepRunning = false
		if e.down {
			return
		}
		for _, s := range batch {
			e.progress(s)
		}
		e.step()
	})
}

func (e *engine) duration(tokens int) time.Duration {
	factor := 1 + e.profile.DecodeSlowdown*float64(len(e.decoding))/float64(e.profile.MaxRunning)
	return e.profile.StepTime + fromSeconds(float64(tokens)/e.profile.PrefillRate*factor)
}

func (e *engine) batch() ([]share, int) {
	ready := e.ready()
	running := len(e.decoding)
	for _, j := range ready {
		if j.started {
			running++
		}
	}
	var batch []share
	sum := 0
	for _, j := range ready {
		if !j.started && running >= e.profile.MaxRunning {
			continue
		}
		if !j.started {
			running++
			j.started = true
		}
		n := min(j.remaining, e.profile.ChunkTokens-sum)
		batch = append(batch, share{job: j, tokens: n})
		sum += n
		if sum >= e.profile.ChunkTokens {
			break
		}
	}
	return batch, sum
}

// ready returns the jobs whose imports have arrived, in the order in which they are computed.
func (e *engine) ready() []*job {
	var ready []*job
	for _, j := range e.jobs {
		if j.imports == 0 {
			ready = append(ready, j)
		}
	}
	return ready
}

// enqueue inserts a job behind those that are computed before it.
func (e *engine) enqueue(j *job) {
	at := len(e.jobs)
	for at > 0 && !e.fifo && e.jobs[at-1].priority < j.priority {
		at--
	}
	e.jobs = slices.Insert(e.jobs, at, j)
}

func (e *engine) progress(s share) {
	j := s.job
	j.remaining -= s.tokens
	if j.cancelled || j.remaining > 0 {
		return
	}
	e.remove(j)
	for _, key := range j.missing {
		if e.computed(key) {
			j.recomputed++
		}
		e.insert(key)
		e.pin(j, key)
	}
	e.check(j)
	e.decoding[j] = true
	j.firstToken()
	e.clock.after(fromSeconds(float64(j.answerTokens)/e.profile.DecodeRate), func() { e.finish(j) })
}

// check counts an answer that is generated without all pieces of its prompt in memory.
func (e *engine) check(j *job) {
	for _, key := range j.pieces {
		if !e.memory.has(key) {
			e.missingPiece()
			return
		}
	}
}

func (e *engine) finish(j *job) {
	if e.down || j.cancelled {
		return
	}
	delete(e.decoding, j)
	e.release(j)
	j.finished()
	e.step()
}

func (e *engine) release(j *job) {
	for _, key := range j.pinned {
		e.memory.unpin(key)
	}
	j.pinned = nil
}

func (e *engine) remove(j *job) {
	if i := slices.Index(e.jobs, j); i >= 0 {
		e.jobs = slices.Delete(e.jobs, i, i+1)
	}
}

// cancel ends a job whose caller has disconnected.
func (e *engine) cancel(j *job) {
	if j.cancelled || e.down {
		return
	}
	j.cancelled = true
	e.remove(j)
	delete(e.decoding, j)
	e.release(j)
}

// crash clears the memory and fails all jobs.
func (e *engine) crash() {
	e.down = true
	e.memory.reset()
	lost := slices.Clone(e.jobs)
	for j := range e.decoding {
		lost = append(lost, j)
	}
	slices.SortFunc(lost, func(a, b *job) int { return int(a.order) - int(b.order) })
	e.jobs = nil
	clear(e.decoding)
	for _, j := range lost {
		j.cancelled = true
		j.failed()
	}
}

// report returns the engine's current load.
func (e *engine) report() announcement.Load {
	e.reports++
	queued := 0
	for _, j := range e.jobs {
		queued += j.remaining
	}
	return announcement.Load{
		Sequence:     e.reports,
		Running:      len(e.decoding),
		QueuedTokens: int64(queued),
		PrefillRate:  e.profile.PrefillRate,
		DecodeRate:   e.profile.DecodeRate,
		MaxRunning:   e.profile.MaxRunning,
		CachePieces:  int64(e.profile.EnginePieces),
	}
}
