package explain

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

// PrefillsConfig holds the parameters of the report.
type PrefillsConfig struct {
	// Step is the interval that one row of the time series covers.
	Step time.Duration
	// UpdateDelay is how long the update about a prefill may take to reach all entries.
	UpdateDelay time.Duration
}

// Causes of prefill, as the report prints them.
const (
	firstPrefill       = "first reading"
	storesUnknown      = "read again, stores not known"
	copyNotYetKnown    = "read again, place not known yet"
	transferCostlier   = "read again, the way was dearer"
	engineLost         = "read again, engine lost"
	evictedOrNotStored = "read again, dropped or not stored"
	prefillLetter      = 'r'
)

// prefill is when and where a part was last computed.
type prefill struct {
	at     time.Time
	server string
}

// Prefills counts by cause the tokens that engines computed of the longest shared parts of prompts.
type Prefills struct {
	config PrefillsConfig
	// last holds the last prefill of each part; lost is when each server was last reported as silent, leaving or restarted.
	last   map[string]prefill
	lost   map[string]time.Time
	causes map[string]int64
	// series counts tokens by step and cause.
	series map[int64]map[string]int64
	first  time.Time
}

// ReadPrefills counts the prefill in logs of entries. It needs the logs of all entries to distinguish a first prefill from a later one.
func ReadPrefills(c PrefillsConfig, logs ...io.Reader) (Prefills, error) {
	p := Prefills{config: c, last: map[string]prefill{}, lost: map[string]time.Time{}, causes: map[string]int64{}, series: map[int64]map[string]int64{}}
	var relevant []line
	err := forEachLine(logs, func(l line) {
		if l.Message == "server-announced" || l.Message == "attempt-routed" && l.text("part") != "" {
			relevant = append(relevant, l)
		}
	})
	if err != nil {
		return Prefills{}, fmt.Errorf("readings: %w", err)
	}
	byTime(relevant)
	for _, l := range relevant {
		p.add(l)
	}
	return p, nil
}

func (p *Prefills) add(l line) {
	at, err := time.Parse(time.RFC3339Nano, l.Time)
	if err != nil {
		return
	}
	if l.Message == "server-announced" {
		if silent, _ := l.Fields["silent"].(bool); silent || l.text("state") != "ready" {
			p.lost[l.text("server")] = at
		}
		return
	}
	if p.first.IsZero() {
		p.first = at.Truncate(time.Second)
	}
	i, from := int(l.number("part-place")), l.text("from")
	if i < 0 || i >= len(from) || from[i] != prefillLetter {
		return
	}
	p.count(at, p.cause(l, at), l.number("part-tokens"))
	p.last[l.text("part")] = prefill{at, l.text("server")}
}

func (p *Prefills) count(at time.Time, cause string, tokens int64) {
	p.causes[cause] += tokens
	step := int64(at.Sub(p.first) / p.config.Step)
	if p.series[step] == nil {
		p.series[step] = map[string]int64{}
	}
	p.series[step][cause] += tokens
}

// cause returns why the part was computed.
func (p *Prefills) cause(l line, at time.Time) string {
	before, computed := p.last[l.text("part")]
	switch {
	case !computed:
		return firstPrefill
	case l.number("stores-age-ms") < 0:
		return storesUnknown
	case l.number("places") > 0:
		return transferCostlier
	case at.Sub(before.at) < p.config.UpdateDelay:
		return copyNotYetKnown
	case p.lost[before.server].After(before.at):
		return engineLost
	}
	return evictedOrNotStored
}

// Write writes the tokens by cause, followed by the time series.
func (p Prefills) Write(w io.Writer) error {
	const thousand = 1000
	var b strings.Builder
	b.WriteString("thousand tokens of long shared parts that were read, by cause\n")
	causes := sorted(p.causes)
	slices.SortStableFunc(causes, func(a, b string) int { return int(p.causes[b] - p.causes[a]) })
	for _, c := range causes {
		fmt.Fprintf(&b, "  %9d  %s\n", p.causes[c]/thousand, c)
	}
	b.WriteString("seconds since the first, thousand tokens by cause\n")
	for _, step := range sorted(p.series) {
		var parts []string
		for _, c := range causes {
			if n := p.series[step][c]; n > 0 {
				parts = append(parts, fmt.Sprintf("%d %s", n/thousand, c))
			}
		}
		fmt.Fprintf(&b, "  %5.1f  %s\n", (time.Duration(step) * p.config.Step).Seconds(), strings.Join(parts, "; "))
	}
	_, err := io.WriteString(w, b.String())
	return err
}
