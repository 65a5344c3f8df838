package limit

import (
	"math"
	"time"

	"hornbeamwood/internal/serve/request"
)

const (
	// learnTime is for how long an entry sends as before once a server says that it is brittle, to
	// learn its own rate.
	learnTime = 1500 * time.Millisecond
	// rateWindow and loadWindow are the time constants of the averages of this entry's accepted
	// requests and of the server's load.
	rateWindow = 3 * time.Second
	loadWindow = 500 * time.Millisecond
	// minTarget and maxTarget bound the number of running and waiting requests, as a share of the
	// slots, that all entries together aim at. Requests wait at entries, because the server's room may
	// shrink.
	minTarget, maxTarget = 0.1, 0.9
	// assumedRoom is how many requests a server is assumed to let wait, as a multiple of the square root
	// of its slots: the standard deviation of its running requests.
	assumedRoom = 2.0
	// rejectionDeviations is how many standard deviations the rejections in a second stay below what
	// the server tolerates.
	rejectionDeviations = 2.0
	// minScale and maxScale bound how much an entry's rate differs from that of the last seconds.
	// unknownScale applies to a server that does not tell its load.
	minScale, maxScale = 0.5, 2.0
	unknownScale       = 1.2
	// workGrowth bounds by how much the rate grows within the work time, after which the load shows it.
	workGrowth = 0.15
	// floorShare is the share of an equal part of the target that each entry may use in any case.
	floorShare = 0.7
	// minEntryRate is an entry's lowest rate. An entry that sent nothing could not learn that the
	// server has room again.
	minEntryRate = 1.0 / 60
	// rejectionFactor multiplies the rate at each rejection. Half of the full rate is regained in the
	// time in which each entry may cause one, but within minRecovery and maxRecovery in a second.
	rejectionFactor          = 0.7
	minRecovery, maxRecovery = 0.02, 0.2
	// keptFactor multiplies what an entry keeps in flight at each rejection. Requests that were on their way
	// together are rejected together, so that each counts for less than rejectionFactor.
	keptFactor = 0.9
	// maxSlots bounds what a server may state, because the target takes time in proportion.
	maxSlots = 4096
	// minTolerated applies to a server that tolerates no rejection at all.
	minTolerated = 0.5
	// maxPauseLevel is how often the pause after a rejection doubles. maxPause bounds it.
	maxPauseLevel = 2
	maxPause      = 20 * time.Second
	// acceptedLevel is by how much an accepted request lowers the level of the pause.
	acceptedLevel = 0.1
	// priorRequests is how many requests at the mean rate of all entries are added to an entry's own, so
	// that the rates of rarely used entries don't vary by chance.
	priorRequests = 2.0
	// assumedWork is the time that a request is assumed to occupy a slot while that is unknown.
	assumedWork = time.Second
	// minCredit and maxCredit bound for how long an entry may send a request later that it could have sent.
	minCredit, maxCredit = 20 * time.Millisecond, 200 * time.Millisecond
)

// brittleQuota is how many requests this entry sends to a server that falls over when it has to
// reject too many.
//
// Each entry scales the rate at which the server accepted its requests by how far the server's load is
// from the target. All entries see the same load, so that their sum approaches the target, however
// unevenly they are used. Rejections lower the rate further.
type brittleQuota struct {
	// tolerated is how many rejections in a second the server tolerates.
	tolerated float64
	slots     int
	// accepted and seconds are decaying sums of the accepted requests and of the time in which this
	// entry could send some.
	accepted, seconds float64
	updated           time.Time
	// load is the mean of running and waiting requests as a share of the slots, negative while unknown.
	load float64
	// work is the mean time for a request, zero while unknown.
	work time.Duration
	// backoff is the share of the rate that is left by rejections, pauseLevel how long the next pause
	// is.
	backoff, pauseLevel float64
	rate                float64
	// target is the load that all entries together aim at, targetWork the work time that it was computed for.
	target     float64
	targetWork time.Duration
	// room is how many requests the server is expected to let wait.
	room int
	// concurrency is what this entry keeps in flight.
	concurrency
}

func newBrittleQuota(o Observation, inFlight int, now time.Time) *brittleQuota {
	q := &brittleQuota{load: -1, backoff: 1, updated: now}
	q.beginConcurrency(inFlight, now)
	q.announce(o)
	return q
}

// announce applies what the server states.
func (q *brittleQuota) announce(o Observation) {
	tolerated, slots := max(minTolerated, *o.Tolerated), o.Slots
	if o.Load != nil && o.Load.Slots > 0 {
		slots = o.Load.Slots
	}
	slots = max(1, min(slots, maxSlots))
	if tolerated != q.tolerated || slots != q.slots {
		q.tolerated, q.slots, q.targetWork = tolerated, slots, 0
		q.room = int(assumedRoom * math.Sqrt(float64(slots)))
	}
}

// rejectionRate is how many rejections in a second all entries together may cause.
func (q *brittleQuota) rejectionRate() float64 {
	return meanBelow(q.tolerated, rejectionDeviations)
}

// entryRate implements quota. Where each entry may keep a request in flight, the number of these is the limit
// and the rate what the server can run of them.
func (q *brittleQuota) entryRate(entries int) float64 {
	if q.slotEach(entries) {
		return q.pace(entries)
	}
	return max(q.rate, minEntryRate)
}

// burst implements quota. All entries together may keep as many requests as there are free slots, and half
// of the room.
func (q *brittleQuota) burst(entries int) float64 {
	if q.slotEach(entries) {
		return max(1, q.share(entries))
	}
	credit := max(minCredit, min(q.workTime(), maxCredit))
	free := (1-max(0, min(q.load, 1)))*float64(q.slots) + float64(q.room)/2
	return max(q.entryRate(entries)*credit.Seconds(), free/float64(max(1, entries)))
}

func (q *brittleQuota) workTime() time.Duration {
	if q.work == 0 {
		return assumedWork
	}
	return q.work
}

// update processes a response and sets the rate. idle is the time since the last response in which
// nothing could be sent.
func (q *brittleQuota) update(o Observation, idle time.Duration, entries int, now time.Time) {
	since := max(0, now.Sub(q.updated))
	q.updated = now
	active := max(0, since-idle).Seconds()
	decay := math.Exp(-active / rateWindow.Seconds())
	q.accepted, q.seconds = q.accepted*decay, q.seconds*decay+active
	// The response itself doesn't count yet, or the rate of a rarely used entry would be too high.
	own := q.ownRate(entries)
	recovery := max(minRecovery, min(q.rejectionRate()/float64(2*max(1, entries)), maxRecovery))
	q.backoff = min(1, q.backoff+recovery*since.Seconds())
	q.observeLoad(o.Load, since)
	if !o.Rejected {
		q.accepted++
		q.pauseLevel = max(0, q.pauseLevel-acceptedLevel)
		q.observeWork(o, now)
	} else {
		q.backoff *= rejectionFactor
		q.observeRoom(o.Load)
		// What the entry kept in flight was too much.
		q.mean = min(q.mean, max(float64(q.slots)/float64(max(1, entries)), keptFactor*q.mean))
	}
	q.setTarget()
	floor := floorShare * q.target * float64(q.slots) / q.workTime().Seconds() / float64(max(1, entries))
	q.rate = q.backoff * max(floor, own*q.scale())
}

// ownRate returns the rate at which the server accepted this entry's requests lately.
func (q *brittleQuota) ownRate(entries int) float64 {
	if q.load > 0 && q.work > 0 {
		mean := q.load * float64(q.slots) / q.workTime().Seconds() / float64(max(1, entries))
		return (q.accepted + priorRequests) / (q.seconds + priorRequests/mean)
	}
	if q.seconds > 0 {
		return q.accepted / q.seconds
	}
	return 0
}

// scale returns by how much the rate of all entries may change.
func (q *brittleQuota) scale() float64 {
	most := min(maxScale, 1+workGrowth*rateWindow.Seconds()/q.workTime().Seconds())
	switch {
	case q.load < 0:
		return min(most, unknownScale)
	case q.load == 0:
		return most
	}
	return max(minScale, min(q.target/q.load, most))
}

func (q *brittleQuota) observeLoad(l *request.Load, since time.Duration) {
	if l == nil || l.Slots <= 0 {
		return
	}
	load := float64(l.Running+l.Waiting) / float64(l.Slots)
	if q.load < 0 {
		q.load = load
		return
	}
	q.load += (load - q.load) * max(latencyWeight, 1-math.Exp(-since.Seconds()/loadWindow.Seconds()))
}

// latencyWeight is the least weight of the newest response in the means of load and work time.
const latencyWeight = 0.1

// observeRoom lowers the expected room to that of a server that rejected a request.
func (q *brittleQuota) observeRoom(l *request.Load) {
	if l != nil && l.Running >= l.Slots && l.Waiting < q.room {
		q.room, q.targetWork = l.Waiting, 0
	}
}

// observeWork estimates the work time by responses that did not wait at the server. The headers of a
// stream arrive at its beginning; its end tells.
func (q *brittleQuota) observeWork(o Observation, now time.Time) {
	took := now.Sub(o.Sent)
	switch {
	case o.Stream:
		q.work = o.WorkTime
	case took <= 0 || o.Load != nil && o.Load.Waiting > 0:
	case q.work == 0:
		q.work = took
	default:
		q.work += time.Duration(latencyWeight * float64(took-q.work))
	}
}

// pause returns for how long this entry sends nothing after a rejection, so that the rejections of
// all entries in a second stay below what the server tolerates.
func (q *brittleQuota) pause(entries int, random float64) time.Duration {
	q.pauseLevel = min(maxPauseLevel, q.pauseLevel+1)
	seconds := float64(max(1, entries)) / q.rejectionRate() * math.Exp2(q.pauseLevel-maxPauseLevel)
	return time.Duration((0.5 + random) * min(seconds, maxPause.Seconds()) * float64(time.Second))
}

// setTarget computes the load at which the server seldom rejects a request, if its work time has changed.
func (q *brittleQuota) setTarget() {
	const tolerance, steps = 1.1, 10
	work := q.workTime().Seconds()
	if ratio := work / q.targetWork.Seconds(); q.targetWork > 0 && ratio < tolerance && ratio > 1/tolerance {
		return
	}
	q.targetWork = q.workTime()
	low, high := minTarget, maxTarget
	for range steps {
		mid := (low + high) / 2
		if mid*float64(q.slots)/work*rejectedShare(mid, q.slots, q.room) > q.rejectionRate() {
			high = mid
		} else {
			low = mid
		}
	}
	q.target = low
}

// rejectedShare returns the share of requests that arrive at random times and find all slots and the
// room occupied, at the given load for each slot.
func rejectedShare(load float64, slots, room int) float64 {
	share, offered := 1.0, load*float64(slots)
	for i := 1; i <= slots; i++ {
		share = offered * share / (float64(i) + offered*share)
	}
	for range room {
		share = load * share / (1 + load*share)
	}
	return share
}
