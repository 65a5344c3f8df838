package model

import (
	"slices"
	"time"

	"hornbeamwood/internal/fleet/announcement"
	"hornbeamwood/internal/policy/route"
)

// engine is the fake of a model engine.
type engine struct {
	index    int
	identity string
	clock    *clock
	profile  Profile
	tokens   int // of a piece
	stores   []*store
	memory   *lru
	jobs     []*job // those without a first token, in the order in which they are computed
	decoding map[*job]bool
	stepping bool
	dead     bool
	count    uint64
	reports  uint64
	// unaware engines take requests in the order of arrival
	unaware  bool
	changed  func(key uint64, held bool)
	computed func(key uint64) bool // returns whether some engine had computed it before
	wrong    func()
}

// submit takes a request; its pieces come from memory, from the stores of its plan or are computed.
func (e *engine) submit(j *job) {
	if j.gone {
		return
	}
	if e.dead {
		j.failed()
		return
	}
	e.count++
	j.order = e.count
	j.left = j.extra
	e.enqueue(j)
	for i, key := range j.pieces {
		e.obtain(j, i, key)
	}
	e.step()
}

func (e *engine) obtain(j *job, i int, key uint64) {
	if e.memory.touch(key) {
		e.hold(j, key)
		return
	}
	if j.plan[i].Source != route.Import {
		e.compute(j, key)
		return
	}
	j.imports++
	e.stores[j.plan[i].Copy.Store].read(key, e.profile.PieceBytes, func(ok bool) { e.arrived(j, key, ok) })
}

func (e *engine) hold(j *job, key uint64) {
	e.memory.pin(key)
	j.pinned = append(j.pinned, key)
}

func (e *engine) compute(j *job, key uint64) {
	j.left += e.tokens
	j.missing = append(j.missing, key)
}

func (e *engine) arrived(j *job, key uint64, ok bool) {
	j.imports--
	if j.gone || e.dead {
		return
	}
	if ok {
		e.insert(key)
		e.hold(j, key)
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

// share is the part of a step that goes to a job.
type share struct {
	job    *job
	tokens int
}

// step computes one chunk, filled from the jobs in their order.
func (e *engine) step() {
	if e.stepping || e.dead {
		return
	}
	batch, sum := e.batch()
	if len(batch) == 0 {
		return
	}
	e.stepping = true
	e.clock.after(e.duration(sum), func() {
		e.stepping = false
		if e.dead {
			return
		}
		for _, s := range batch {
			e.progress(s)
		}
		e.step()
	})
}

func (e *engine) duration(tokens int) time.Duration {
	slow := 1 + e.profile.DecodeSlowdown*float64(len(e.decoding))/float64(e.profile.MaxRunning)
	return e.profile.StepTime + span(float64(tokens)/e.profile.PrefillRate*slow)
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
		n := min(j.left, e.profile.ChunkTokens-sum)
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

// enqueue puts a job behind those that are computed before it.
func (e *engine) enqueue(j *job) {
	at := len(e.jobs)
	for at > 0 && !e.unaware && e.jobs[at-1].priority < j.priority {
		at--
	}
	e.jobs = slices.Insert(e.jobs, at, j)
}

func (e *engine) progress(s share) {
	j := s.job
	j.left -= s.tokens
	if j.gone || j.left > 0 {
		return
	}
	e.remove(j)
	for _, key := range j.missing {
		if e.computed(key) {
			j.recomputed++
		}
		e.insert(key)
		e.hold(j, key)
	}
	e.check(j)
	e.decoding[j] = true
	j.firstToken()
	e.clock.after(span(float64(j.answer)/e.profile.DecodeRate), func() { e.finish(j) })
}

// check counts an answer that would be made without all of its prompt's pieces.
func (e *engine) check(j *job) {
	for _, key := range j.pieces {
		if !e.memory.has(key) {
			e.wrong()
			return
		}
	}
}

func (e *engine) finish(j *job) {
	if e.dead || j.gone {
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

// cancel ends a job whose caller has gone.
func (e *engine) cancel(j *job) {
	if j.gone || e.dead {
		return
	}
	j.gone = true
	e.remove(j)
	delete(e.decoding, j)
	e.release(j)
}

// die loses the memory and fails all jobs.
func (e *engine) die() {
	e.dead = true
	e.memory.drop()
	lost := slices.Clone(e.jobs)
	for j := range e.decoding {
		lost = append(lost, j)
	}
	slices.SortFunc(lost, func(a, b *job) int { return int(a.order) - int(b.order) })
	e.jobs = nil
	clear(e.decoding)
	for _, j := range lost {
		j.gone = true
		j.failed()
	}
}

// report returns the load as the engine sees it now.
func (e *engine) report() announcement.Load {
	e.reports++
	queued := 0
	for _, j := range e.jobs {
		queued += j.left
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
