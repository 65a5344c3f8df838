package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// ReadingsConfig says how readings are counted.
type ReadingsConfig struct {
	// Step is the span of one row of the course.
	Step time.Duration
	// News is how long news of a reading may take to all entries.
	News time.Duration
}

// Causes of readings.
const (
	firstReading  = "first reading"
	storesUntold  = "read again, stores not known"
	notYetKnown   = "read again, place not known yet"
	dearer        = "read again, the way was dearer"
	engineLost    = "read again, engine lost"
	dropped       = "read again, dropped or not stored"
	readingLetter = 'r'
)

// reading is when and where a part was last read.
type reading struct {
	at     time.Time
	server string
}

// Readings counts why engines read the longest shared parts of prompts, in tokens.
type Readings struct {
	config ReadingsConfig
	// last are the last readings by part, lost when each server was last told of as silent, leaving or started anew.
	last   map[string]reading
	lost   map[string]time.Time
	causes map[string]int64
	// course are tokens by step and cause.
	course map[int64]map[string]int64
	first  time.Time
}

// ReadReadings counts what logs of entries tell; logs of all entries tell first readings from later ones.
func ReadReadings(c ReadingsConfig, logs ...io.Reader) (Readings, error) {
	s := Readings{config: c, last: map[string]reading{}, lost: map[string]time.Time{}, causes: map[string]int64{}, course: map[int64]map[string]int64{}}
	var told []line
	err := each(logs, func(l line) {
		if l.Message == "server-announced" || l.Message == "attempt-routed" && l.text("part") != "" {
			told = append(told, l)
		}
	})
	if err != nil {
		return Readings{}, fmt.Errorf("readings: %w", err)
	}
	byTime(told)
	for _, l := range told {
		s.take(l)
	}
	return s, nil
}

func (s *Readings) take(l line) {
	at, err := time.Parse(time.RFC3339Nano, l.Time)
	if err != nil {
		return
	}
	if l.Message == "server-announced" {
		if silent, _ := l.Fields["silent"].(bool); silent || l.text("state") != "ready" {
			s.lost[l.text("server")] = at
		}
		return
	}
	if s.first.IsZero() {
		s.first = at.Truncate(time.Second)
	}
	i, from := int(l.number("part-place")), l.text("from")
	if i < 0 || i >= len(from) || from[i] != readingLetter {
		return
	}
	s.count(at, s.cause(l, at), l.number("part-tokens"))
	s.last[l.text("part")] = reading{at, l.text("server")}
}

func (s *Readings) count(at time.Time, cause string, tokens int64) {
	s.causes[cause] += tokens
	step := int64(at.Sub(s.first) / s.config.Step)
	if s.course[step] == nil {
		s.course[step] = map[string]int64{}
	}
	s.course[step][cause] += tokens
}

// cause says why the part was read.
func (s *Readings) cause(l line, at time.Time) string {
	before, again := s.last[l.text("part")]
	switch {
	case !again:
		return firstReading
	case l.number("stores-age-ms") < 0:
		return storesUntold
	case l.number("places") > 0:
		return dearer
	case at.Sub(before.at) < s.config.News:
		return notYetKnown
	case s.lost[before.server].After(before.at):
		return engineLost
	}
	return dropped
}

// Write writes the tokens by cause, and their course.
func (s Readings) Write(w io.Writer) error {
	const thousand = 1000
	var b strings.Builder
	b.WriteString("thousand tokens of long shared parts that were read, by cause\n")
	causes := sorted(s.causes)
	slices.SortStableFunc(causes, func(a, b string) int { return int(s.causes[b] - s.causes[a]) })
	for _, c := range causes {
		fmt.Fprintf(&b, "  %9d  %s\n", s.causes[c]/thousand, c)
	}
	b.WriteString("seconds since the first, thousand tokens by cause\n")
	for _, step := range sorted(s.course) {
		var parts []string
		for _, c := range causes {
			if n := s.course[step][c]; n > 0 {
				parts = append(parts, fmt.Sprintf("%d %s", n/thousand, c))
			}
		}
		fmt.Fprintf(&b, "  %5.1f  %s\n", (time.Duration(step) * s.config.Step).Seconds(), strings.Join(parts, "; "))
	}
	_, err := io.WriteString(w, b.String())
	return err
}
