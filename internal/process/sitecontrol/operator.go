package sitecontrol

import (
	"context"
	"net/http"
	"time"

	"github.com/apex/log"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/base/event"
	"hornbeamwood/internal/base/verdict"
	"hornbeamwood/internal/site/directory"
	"hornbeamwood/internal/site/document"
	"hornbeamwood/internal/site/section"
)

const (
	// acceptTimeout bounds an operator's change; operators ask another replica after about a second.
	acceptTimeout = 1500 * time.Millisecond
	// readTimeout bounds a read; it takes one round among the replicas.
	readTimeout = 900 * time.Millisecond
)

var _ Service = (*process)(nil)

// Address implements Service.
func (p *process) Address() string {
	return p.config.Host.Listen
}

// Announce implements Service.
func (p *process) Announce(ctx context.Context, s directory.Server) error {
	return p.servers.announce(ctx, s)
}

// Depart implements Service.
func (p *process) Depart(ctx context.Context, id string, born int64) error {
	return p.servers.depart(ctx, id, born)
}

// PutDocument implements Service.
func (p *process) PutDocument(ctx context.Context, d document.Document, source []byte) error {
	began := time.Now()
	r, err := p.putDocument(ctx, d, source)
	f := log.Fields{"number": d.Revision, "changed": r.Changed, "in-force": r.Revision, "ms": time.Since(began).Milliseconds()}
	if err != nil {
		f["error"] = err.Error()
	}
	event.DocumentTaken.Write(p.config.Logger, f)
	return err
}

// putDocument commits a document, without the chunks that it shares with the one in force here.
//
// Whatever this replica has applied is committed: a document that isn't newer needs no
// entry in the log. Operators send again what wasn't acknowledged in time, which would
// make a slow log slower.
func (p *process) putDocument(ctx context.Context, d document.Document, source []byte) (section.Result, error) {
	h, ok := p.section.Active()
	if ok && d.Revision <= h.Document.Revision {
		return section.Result{Taken: true, Revision: h.Document.Revision}, nil
	}
	r, err := p.putOver(ctx, h, d, source)
	if err == nil && r.MissingChunks {
		return p.putOver(ctx, section.ActiveDocument{}, d, source)
	}
	return r, err
}

func (p *process) putOver(ctx context.Context, h section.ActiveDocument, d document.Document, source []byte) (section.Result, error) {
	put, err := section.NewPutChunks(d, source, h)
	if err != nil {
		return section.Result{}, verdict.New(verdict.NotRun, http.StatusBadRequest, "malformed-document", "the document could not be encoded").WithCause(err)
	}
	return p.change(ctx, section.Command{PutChunks: &put})
}

// SetTargetVersion implements Service.
func (p *process) SetTargetVersion(ctx context.Context, model string, version int64) error {
	r, err := p.change(ctx, section.Command{SetTargetVersion: &section.SetTargetVersion{Model: model, Version: version, At: p.librarian.clock.Now()}})
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
	if err == nil && !r.Taken {
		err = verdict.New(verdict.Ran, http.StatusInternalServerError, "not-taken", "the control log could not read the change")
	}
	return r, err
}

// Document implements Service.
//
// A replica that is cut off would answer with a document that a newer one has
// overtaken; the round among the replicas shows that it isn't.
func (p *process) Document(ctx context.Context) (section.ActiveDocument, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	err := p.leader.CatchUp(ctx)
	h, ok := p.section.Active()
	if err == nil && !ok {
		err = verdict.New(verdict.NotRun, http.StatusServiceUnavailable, "no-document", "no document is in force yet")
	}
	f := log.Fields{"number": h.Document.Revision}
	if err != nil {
		f["error"] = err.Error()
	}
	event.DocumentRead.Write(p.config.Logger, f)
	return h, err
}
