package sitecontrol

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/check"
	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/section"
)

const (
	// acceptTimeout bounds an operator's change; operators retry at another replica after about a second.
	acceptTimeout = 1500 * time.Millisecond
	// readTimeout bounds a read, which takes one round among the replicas.
	readTimeout = 900 * time.Millisecond
	// maxModelBytes and maxZoneBytes bound the names in operators' orders.
	maxModelBytes, maxZoneBytes = 256, 256
)

var _ Service = (*process)(nil)

// Address implements Service.
func (p *process) Address() string {
	return p.config.Host.Listen
}

// Announce implements Service.
func (p *process) Announce(ctx context.Context, s directory.Server) error {
	if err := s.Check(time.Now()); err != nil {
		return p.rejections.reject("announcement", s.ID, err)
	}
	return p.servers.announce(ctx, s)
}

// Depart implements Service.
func (p *process) Depart(ctx context.Context, id string, startedAt int64) error {
	if err := directory.CheckIncarnation(id, startedAt, time.Now()); err != nil {
		return p.rejections.reject("departure", id, err)
	}
	return p.servers.depart(ctx, id, startedAt)
}

// PutDocument implements Service.
func (p *process) PutDocument(ctx context.Context, d document.Document, source []byte) error {
	start := time.Now()
	r, err := p.putDocument(ctx, d, source)
	f := log.Fields{"number": d.Revision, "changed": r.Changed, "in-force": r.Revision, "ms": time.Since(start).Milliseconds()}
	if err != nil {
		f["error"] = err.Error()
	}
	event.DocumentTaken.Write(p.config.Logger, f)
	return err
}

// putDocument commits a document, without the chunks that it shares with the one in force here.
//
// Whatever this replica has applied is committed, so a document that isn't newer needs no
// log entry. Operators resend what wasn't acknowledged in time, and entries for resends
// would slow down a slow log further.
func (p *process) putDocument(ctx context.Context, d document.Document, source []byte) (section.Result, error) {
	active, ok := p.section.Active()
	if ok && d.Revision <= active.Document.Revision {
		return section.Result{Accepted: true, Revision: active.Document.Revision}, nil
	}
	r, err := p.putDelta(ctx, active, d, source)
	if err == nil && r.MissingChunks {
		return p.putDelta(ctx, section.ActiveDocument{}, d, source)
	}
	return r, err
}

// putDelta commits a document without the chunks that it shares with h.
func (p *process) putDelta(ctx context.Context, active section.ActiveDocument, d document.Document, source []byte) (section.Result, error) {
	put, err := section.NewPutChunks(d, source, active)
	if err != nil {
		return section.Result{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "malformed-document", "the document could not be encoded").WithCause(err)
	}
	return p.change(ctx, section.Command{PutChunks: &put})
}

// SetTargetVersion implements Service.
func (p *process) SetTargetVersion(ctx context.Context, model string, version int64) error {
	if err := check.Name("the model", model, maxModelBytes); err != nil {
		return p.rejections.reject("version", model, err)
	}
	r, err := p.change(ctx, section.Command{SetTargetVersion: &section.SetTargetVersion{Model: model, Version: version, At: p.storeFollower.clock.Now()}})
	f := log.Fields{"model": model, "version": version, "changed": r.Changed}
	if err != nil {
		f["error"] = err.Error()
	}
	event.VersionNamed.Write(p.config.Logger, f)
	return err
}

// change commits a command and returns its result.
func (p *process) change(ctx context.Context, c section.Command) (section.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	body, err := codec.Marshal(c)
	if err != nil {
		return section.Result{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "malformed-command", "the change could not be encoded").WithCause(err)
	}
	b, err := p.leader.Propose(ctx, section.Name, body)
	if err != nil {
		return section.Result{}, err
	}
	r, err := codec.Unmarshal[section.Result](b)
	if err == nil && !r.Accepted {
		err = verdict.New(verdict.Ran, http.StatusInternalServerError, "not-taken", "the control log could not read the change")
	}
	return r, err
}

// Document implements Service.
//
// A replica that is cut off could answer with an outdated document. The round among the
// replicas ensures that it has caught up.
func (p *process) Document(ctx context.Context) (section.ActiveDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := p.leader.CatchUp(ctx)
	active, ok := p.section.Active()
	if err == nil && !ok {
		err = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no-document", "no document is in force yet")
	}
	f := log.Fields{"number": active.Document.Revision}
	if err != nil {
		f["error"] = err.Error()
	}
	event.DocumentRead.Write(p.config.Logger, f)
	return active, err
}
