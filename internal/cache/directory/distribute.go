package directory

import (
	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/events"
)

// Distribute returns the messages that distribute an engine's report to the nodes of the cell.
//
// Each node gets the full range of event numbers, but only the changes of its
// own keys, so that it can detect gaps independently.
func (r Ring) Distribute(report events.Report) []Envelope {
	if report.Listing != nil {
		return r.distributeListing(report)
	}
	all := make([]Envelope, len(r.nodes))
	for i, n := range r.nodes {
		all[i] = Envelope{To: n, Message: Message{Update: &Update{
			Engine:      report.Identity,
			Incarnation: report.Incarnation,
			First:       report.First,
			Count:       uint64(len(report.Events)),
		}}}
	}
	for i, e := range report.Events {
		c := Change{Offset: uint64(i), Evicted: e.Kind == events.Evicted, Key: e.Key}
		r.each(e.Key, func(n int) {
			u := all[n].Message.Update
			u.Changes = append(u.Changes, c)
		})
	}
	return all
}

func (r Ring) distributeListing(report events.Report) []Envelope {
	l := report.Listing
	all := make([]Envelope, len(r.nodes))
	for i, n := range r.nodes {
		all[i] = Envelope{To: n, Message: Message{Listing: &ListingPart{
			Engine:      report.Identity,
			Incarnation: report.Incarnation,
			Sequence:    l.Sequence,
			Part:        l.Part,
			Parts:       l.Parts,
		}}}
	}
	for _, k := range l.Keys {
		r.each(k, func(n int) {
			p := all[n].Message.Listing
			p.Keys = append(p.Keys, k)
		})
	}
	return all
}

// each calls f once with each holder of a key.
func (r Ring) each(k block.Key, f func(node int)) {
	first, second := r.Holders(k)
	if first < 0 {
		return
	}
	f(first)
	if second != first {
		f(second)
	}
}

// ToHolders returns the message addressed to each holder of a key, for Store, Pin and Unpin messages.
func (r Ring) ToHolders(k block.Key, m Message) []Envelope {
	var all []Envelope
	r.each(k, func(n int) { all = append(all, Envelope{To: r.nodes[n], Message: m}) })
	return all
}
