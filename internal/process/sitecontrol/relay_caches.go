package sitecontrol

import (
	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/site/rowtable"
	"hornbeamwood/internal/site/topic"
)

// putCache shows the cache of an engine that announces itself to this replica.
func (r *relay) putCache(server string, c topic.EngineCache) {
	b, err := codec.Marshal(c)
	if err != nil {
		event.NoticeRefused.Write(r.logger, log.Fields{"notice": "cache", "server": server, "error": err.Error()})
		return
	}
	r.localHints.Put(topic.EngineCaches, server, b)
	r.applyCache(r.self, rowtable.Row{Topic: topic.EngineCaches, Key: server, Value: b})
}

// dropCache removes this replica's row of an engine's cache.
func (r *relay) dropCache(server string) {
	r.localHints.Put(topic.EngineCaches, server, nil)
	r.applyCache(r.self, rowtable.Row{Topic: topic.EngineCaches, Key: server})
}

// applyCache applies a relay's row of an engine's cache, or its removal.
//
// For a moment, two replicas show the cache of an engine that now announces itself to
// another one. A removal by the previous replica must not remove the row of the new one.
func (r *relay) applyCache(address string, row rowtable.Row) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(row.Value) == 0 {
		if r.followedEngines[address][row.Key] {
			delete(r.followedEngines[address], row.Key)
			r.allHints.Put(row.Topic, row.Key, nil)
		}
		return
	}
	for _, followed := range r.followedEngines {
		delete(followed, row.Key)
	}
	if r.followedEngines[address] == nil {
		r.followedEngines[address] = map[string]bool{}
	}
	r.followedEngines[address][row.Key] = true
	r.allHints.Put(row.Topic, row.Key, row.Value)
}
