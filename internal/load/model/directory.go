package model

import (
	"math/rand/v2"
	"slices"

	"hornbeamwood/internal/policy/route"
)

// directory holds the piece locations known from cache events; it lags behind and misses lost
// events.
type directory struct {
	clock   *clock
	profile Profile
	random  *rand.Rand
	engines map[uint64][]int
	copies  map[uint64][]route.Copy
}

func newDirectory(c *clock, p Profile, random *rand.Rand) *directory {
	return &directory{
		clock: c, profile: p, random: random,
		engines: map[uint64][]int{}, copies: map[uint64][]route.Copy{},
	}
}

// engineChanged publishes a cache event of an engine, unless the event is lost.
func (d *directory) engineChanged(engine int, key uint64, held bool) {
	if d.random.Float64() < d.profile.EventLoss {
		return
	}
	d.clock.after(d.profile.EventLag, func() { d.setEngine(engine, key, held) })
}

func (d *directory) setEngine(engine int, key uint64, held bool) {
	list := d.engines[key]
	i := slices.Index(list, engine)
	if held && i < 0 {
		d.engines[key] = append(slices.Clip(list), engine)
	}
	if held || i < 0 {
		return
	}
	d.engines[key] = slices.Delete(slices.Clone(list), i, i+1)
	if len(list) == 1 {
		delete(d.engines, key)
	}
}

// list replaces the known locations of an engine by its full listing.
func (d *directory) list(engine int, keys []uint64) {
	d.forgetEngine(engine)
	for _, key := range keys {
		d.setEngine(engine, key, true)
	}
}

func (d *directory) forgetEngine(engine int) {
	for key, list := range d.engines {
		if slices.Contains(list, engine) {
			d.setEngine(engine, key, false)
		}
	}
}

// storeChanged publishes that a store holds a piece in a tier, or no longer holds it.
func (d *directory) storeChanged(store int, key uint64, held bool, tier route.Tier) {
	d.clock.after(d.profile.EventLag, func() { d.setStore(store, key, held, tier) })
}

func (d *directory) setStore(store int, key uint64, held bool, tier route.Tier) {
	var kept []route.Copy
	for _, c := range d.copies[key] {
		if c.Store != store {
			kept = append(kept, c)
		}
	}
	if held {
		kept = append(kept, route.Copy{Store: store, Tier: tier})
	}
	if len(kept) == 0 {
		delete(d.copies, key)
		return
	}
	d.copies[key] = kept
}

func (d *directory) forgetStore(store int) {
	for key := range d.copies {
		d.setStore(store, key, false, route.Memory)
	}
}
