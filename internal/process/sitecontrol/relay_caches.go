package sitecontrol

import (
	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/topic"
)

// putCache shows what lies in the memory of an engine that announces itself to this replica.
func (r *relay) putCache(server string, c topic.EngineCache) {
	b, err := codec.Marshal(c)
	if err != nil {
		event.NoticeRefused.Write(r.logger, log.Fields{"notice": "cache", "server": server, "error": err.Error()})
		return
	}
	r.told.Put(topic.EngineCaches, server, b)
	r.takeCache(r.self, rowtable.Row{Topic: topic.EngineCaches, Key: server, Value: b})
}

// dropCache ends what this replica tells of an engine.
func (r *relay) dropCache(server string) {
	r.told.Put(topic.EngineCaches, server, nil)
	r.takeCache(r.self, rowtable.Row{Topic: topic.EngineCaches, Key: server})
}

// takeCache takes what a relay tells of an engine's memory, or that it tells no more of it.
//
// An engine that has moved to another replica is told of by two of them for a moment.
// The word of the one that it has left must not undo the other's.
func (r *relay) takeCache(address string, row rowtable.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(row.Value) == 0 {
		if r.caches[address][row.Key] {
			delete(r.caches[address], row.Key)
			r.shown.Put(row.Topic, row.Key, nil)
		}
		return
	}
	for _, followed := range r.caches {
		delete(followed, row.Key)
	}
	if r.caches[address] == nil {
		r.caches[address] = map[string]bool{}
	}
	r.caches[address][row.Key] = true
	r.shown.Put(row.Topic, row.Key, row.Value)
}
