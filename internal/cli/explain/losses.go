package explain

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"
)

// LossesConfig holds the latency targets of the report.
type LossesConfig struct {
	// Target is the latency target: the time to the first event, or to the complete response if it is not a stream.
	Target time.Duration
	// Targets overrides Target for individual routes.
	Targets map[string]time.Duration
	// EventGap is the longest event gap of a stream that is on time.
	EventGap time.Duration
	// Step is the interval that one row of the time series covers.
	Step time.Duration
}

// onTime is the reason recorded for a request that met its target.
const onTime = "on time"

// Losses counts the reasons why requests were not answered on time.
type Losses struct {
	config LossesConfig
	// routed holds the last routing decision of each request.
	routed map[string]line
	// reasons counts requests by route and reason, series by step and reason.
	reasons map[string]map[string]int
	series  map[int64]map[string]int
	first   time.Time
}

// ReadLosses counts the requests in the logs of entries.
func ReadLosses(c LossesConfig, logs ...io.Reader) (Losses, error) {
	s := Losses{config: c, routed: map[string]line{}, reasons: map[string]map[string]int{}, series: map[int64]map[string]int{}}
	var ended []line
	err := forEachLine(logs, func(l line) {
		switch l.Message {
		case "attempt-routed":
			s.routed[l.text("request")] = l
		case "request-ended":
			ended = append(ended, l)
		}
	})
	if err != nil {
		return Losses{}, fmt.Errorf("losses: %w", err)
	}
	byTime(ended)
	for _, l := range ended {
		s.count(l)
	}
	return s, nil
}

// count adds a request that has ended to the step in which it arrived.
func (s *Losses) count(l line) {
	at, err := time.Parse(time.RFC3339Nano, l.Time)
	if err != nil {
		return
	}
	at = at.Add(-l.millis("ms"))
	if s.first.IsZero() {
		s.first = at.Truncate(time.Second)
	}
	reason := s.reason(l, s.routed[l.text("request")])
	add(s.reasons, l.text("route"), reason)
	add(s.series, int64(at.Sub(s.first)/s.config.Step), reason)
}

func add[K comparable](counts map[K]map[string]int, key K, reason string) {
	if counts[key] == nil {
		counts[key] = map[string]int{}
	}
	counts[key][reason]++
}

// reason returns why a request was not answered on time.
func (s *Losses) reason(ended, routed line) string {
	status := ended.number("status")
	switch {
	case ended.text("reason") == "caller-left":
		return "caller left, " + progress(ended, routed)
	case ended.text("verdict") == "not-run" && status >= http.StatusBadRequest:
		return "refused, " + ended.text("reason")
	case status < http.StatusOK || status >= http.StatusMultipleChoices || ended.text("reason") != "":
		return "failed, " + ended.text("reason")
	}
	return s.lateness(ended, routed)
}

// progress describes how far a request had come when its caller disconnected.
func progress(ended, routed line) string {
	switch {
	case ended.number("first-ms") >= 0:
		return "in the stream"
	case routed.Message == "":
		return "never sent to a server"
	case routed.millis("waited-ms") > ended.millis("ms")/2:
		return "sent to a server late"
	}
	return "before the first event"
}

// lateness returns why an answer was late.
func (s *Losses) lateness(ended, routed line) string {
	target, ok := s.config.Targets[ended.text("route")]
	if !ok {
		target = s.config.Target
	}
	first := ended.millis("first-ms")
	if ended.number("first-ms") < 0 {
		first = ended.millis("ms")
	}
	from := routed.text("from")
	switch {
	case first <= target && ended.millis("longest-pause-ms") > s.config.EventGap:
		return "late, pause in the stream"
	case first <= target:
		return onTime
	case routed.millis("waited-ms") > first/2:
		return "late, waited in line"
	case len(from) > 1 && strings.Contains(from[:len(from)-1], "r"):
		return "late, shared parts were read"
	case routed.number("try") > 1:
		return "late, after another try"
	}
	return "late, at the server"
}

// Write writes the counts by route and reason, followed by the time series.
func (s Losses) Write(w io.Writer) error {
	var b strings.Builder
	b.WriteString("requests by route and reason\n")
	for _, route := range sorted(s.reasons) {
		for _, reason := range byCount(s.reasons[route]) {
			fmt.Fprintf(&b, "  %-16s %6d  %s\n", route, s.reasons[route][reason], reason)
		}
	}
	b.WriteString("seconds since the first, requests, on time, most frequent losses\n")
	for _, step := range sorted(s.series) {
		fmt.Fprintf(&b, "  %5.1f %s\n", (time.Duration(step) * s.config.Step).Seconds(), row(s.series[step]))
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// row formats one step of the time series.
func row(counts map[string]int) string {
	const maxLosses = 3
	all, losses := 0, []string{}
	for _, reason := range byCount(counts) {
		all += counts[reason]
		if reason != onTime && len(losses) < maxLosses {
			losses = append(losses, fmt.Sprintf("%d %s", counts[reason], reason))
		}
	}
	return strings.TrimRight(fmt.Sprintf("%6d %6d  %s", all, counts[onTime], strings.Join(losses, "; ")), " ")
}

// sorted returns the keys of m in order.
func sorted[K ~string | ~int64, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// byCount returns the reasons, most frequent first.
func byCount(counts map[string]int) []string {
	all := sorted(counts)
	slices.SortStableFunc(all, func(a, b string) int { return counts[b] - counts[a] })
	return all
}
