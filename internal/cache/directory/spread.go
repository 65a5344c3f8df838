package directory

import (
	"hornbeamwood/internal/cache/block"
	"hornbeamwood/internal/cache/events"
)

// Spread returns the messages that pass an engine's report on to the nodes of the cell.
//
// Every node gets the range of numbers and only the changes of its own keys,
// so that each finds a gap by itself.
func (r Ring) Spread(report events.Report) []Envelope {
	if report.Listing != nil {
		return r.spreadListing(report)
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

func (r Ring) spreadListing(report events.Report) []Envelope {
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

// each calls f with each holder of a key once.
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

// Both returns the message once for each holder of a key, for Store, Pin and Unpin messages.
func (r Ring) Both(k block.Key, m Message) []Envelope {
	var all []Envelope
	r.each(k, func(n int) { all = append(all, Envelope{To: r.nodes[n], Message: m}) })
	return all
}
