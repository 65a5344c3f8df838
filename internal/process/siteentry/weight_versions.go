package siteentry

import (
	"time"

	"hornbeamwood/internal/site/directory"
)

// expiryMargin is how long before the deadline requests are last sent to older weights. They start only after
// those that are queued at the engine.
const expiryMargin = 1200 * time.Millisecond

func (s *site) applyTargetVersion(model string, v int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v > s.targetVersions[model] {
		s.targetVersions[model], s.targetSince[model] = v, time.Now()
	}
}

// applyTargetVersionTime applies when, by the servers' clock, the target version was set. A process that has
// just started learns of the version later than that.
func (s *site) applyTargetVersionTime(model string, millis int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	if now == 0 || millis <= 0 || millis > now {
		return
	}
	if t := time.Now().Add(-time.Duration(now-millis) * time.Millisecond); t.Before(s.targetSince[model]) {
		s.targetSince[model] = t
	}
}

// VersionExpired implements caller.Site.
func (s *site) VersionExpired(model string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.weightsDeadline > 0 && time.Since(s.targetSince[model]) >= s.weightsDeadline-expiryMargin
}

// Version implements caller.Site.
//
// A server announces its weights about once a second and shows them in each response. Versions only increase.
func (s *site) Version(v directory.Server, model string) int64 {
	announced, _ := v.Version(model)
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(announced, s.observedVersions[versionKey(v.ID, model)])
}

func versionKey(server, model string) string {
	return server + "\x00" + model
}

// ObserveVersion implements caller.Site.
func (s *site) ObserveVersion(server, model string, version int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := versionKey(server, model)
	s.observedVersions[k] = max(s.observedVersions[k], version)
}

// TargetVersion implements caller.Site.
func (s *site) TargetVersion(model string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targetVersions[model]
}
