package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"
)

const (
	// maxOddPause is the longest time between two odd messages.
	maxOddPause = 400 * time.Millisecond
	// oddDuration is how long odd messages are sent while nothing else is disturbed.
	oddDuration = 3 * time.Second
	// inForceBound is how long after its acknowledgment a document may come into force at an entry in touch.
	inForceBound = 2 * time.Second
)

// unreadableIDs counts the oddIDs with bytes that can't be printed.
const unreadableIDs = 4

// oddMessage is a message to a control replica that no server or operator sends.
type oddMessage struct{ call, id, body string }

// oddFields are values that no announcement has.
var oddFields = map[string][]string{
	"address":           {`"127.0.0.1:0"`, `"127.0.0.1:70000"`, `"0.0.0.0:80"`, `"somewhere"`, `7`},
	"slots":             {"9223372036854775807", "1e400", "-1", `"8"`},
	"sequence":          {"9223372036854775807", "-1"},
	"born":              {"9223372036854775807", "1.5", "0"},
	"cold_remaining_ms": {"1e308", `"x"`},
	"zone":              {"\"a\xff\"", `"\u0000"`, `""`},
	"version":           {`"` + strings.Repeat("v", 9000) + `"`, `"\ud800"`},
	"state":             {`"resting"`, `7`},
	"models":            {strings.Repeat("[", 9000) + strings.Repeat("]", 9000), `[{"name":"m","version":1e300}]`, `{}`},
}

// oddIDs are escaped IDs that no server has. The first unreadableIDs of them can't name a zone either.
var oddIDs = []string{"a%ffb", "%c3%28", "a%00b", "a%0ab", "a%20b", strings.Repeat("x", 4000)}

// newOddMessage draws an odd message; id is that of a server.
func newOddMessage(r *rand.Rand, id, sound string) oddMessage {
	switch r.IntN(4) {
	case 0:
		return oddMessage{"Instances.Heartbeat", oddIDs[r.IntN(len(oddIDs))], sound}
	case 1:
		return oddMessage{"Instances.Deregister", oddIDs[r.IntN(len(oddIDs))], ""}
	case 2:
		return oddMessage{"Evacuations.Start", oddIDs[r.IntN(unreadableIDs)], ""}
	}
	names := slices.Sorted(maps.Keys(oddFields))
	name := names[r.IntN(len(names))]
	value := oddFields[name][r.IntN(len(oddFields[name]))]
	return oddMessage{"Instances.Heartbeat", id, fmt.Sprintf(`%s,%q:%s}`, strings.TrimSuffix(sound, "}"), name, value)}
}

// sendOdd sends an odd message to a replica, which must not acknowledge it.
func (s *site) sendOdd(ctx context.Context, r *rand.Rand) {
	sound := fmt.Sprintf(`{"service":%q,"address":"127.0.0.1:9","zone":%q,"version":"v1","slots":8,"state":"ready","sequence":1,"born":1700000000000}`, plainService, zones[0])
	m := newOddMessage(r, fmt.Sprint("odd-", r.IntN(4)), sound)
	control := s.operator.controls[r.IntN(len(s.operator.controls))]
	if status := post(ctx, "http://"+control+":8000/v1/"+m.call+"/"+m.id, m.body, time.Second); status == http.StatusOK {
		s.record.reportViolation("%s acknowledged %s/%.20s %.200s", control, m.call, m.id, m.body)
	}
}

// sendOddMessages sends odd messages until end. It uses a separate random source, so that it does not change the faults
// of a seed.
func sendOddMessages(ctx context.Context, end time.Time, s *site) {
	r := rand.New(rand.NewPCG(s.seed, 101))
	for time.Now().Before(end) && ctx.Err() == nil {
		s.sendOdd(ctx, r)
		sleep(ctx, time.Duration(r.Int64N(int64(maxOddPause))))
	}
}

// checkOddMessages checks that a document comes into force in time at each entry beside odd messages, while nothing else
// is disturbed.
func (s *site) checkOddMessages(ctx context.Context) {
	sleep(ctx, resumeContact)
	go sendOddMessages(ctx, time.Now().Add(oddDuration), s)
	sleep(ctx, oddDuration/2)
	if !s.operator.putDocument(ctx, s.newRandom()) {
		return
	}
	s.operator.mu.Lock()
	revision := s.operator.acknowledged
	s.operator.mu.Unlock()
	bounded, cancel := context.WithTimeout(ctx, inForceBound)
	defer cancel()
	s.checkInForce(bounded, revision)
}
