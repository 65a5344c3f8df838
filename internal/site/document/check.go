package document

import (
	"errors"
	"fmt"
)

// ErrInvalid is what every problem of a document wraps.
var ErrInvalid = errors.New("the document is invalid")

// Check returns why the document can't be in force, nil when it can.
func (d Document) Check() error {
	return errors.Join(d.checkServices(), d.checkRoutes(), d.checkKeys())
}

func problem(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrInvalid, fmt.Sprintf(format, args...))
}

func (d Document) checkServices() error {
	seen := map[string]bool{}
	for _, s := range d.Services {
		if s.Name == "" || seen[s.Name] {
			return problem("service %q stands twice or has no name", s.Name)
		}
		seen[s.Name] = true
	}
	return nil
}

func (d Document) checkRoutes() error {
	services := map[string]bool{}
	for _, s := range d.Services {
		services[s.Name] = true
	}
	type place struct{ host, prefix string }
	places := map[place]string{}
	for _, r := range d.Routes {
		if err := r.check(services); err != nil {
			return err
		}
		p := place{host: r.Host, prefix: r.Prefix}
		if other, ok := places[p]; ok {
			return problem("routes %s and %s share host %s and prefix %s", other, r.Name, r.Host, r.Prefix)
		}
		places[p] = r.Name
	}
	return nil
}

func (r Route) check(services map[string]bool) error {
	switch {
	case r.Prefix == "" || r.Prefix[0] != '/' || r.Prefix[len(r.Prefix)-1] != '/':
		return problem("route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return problem("route %s has no timeout", r.Name)
	case r.Kind != Idempotent && r.Kind != NonIdempotent && r.Kind != Streaming:
		return problem("route %s: kind %q is unknown", r.Name, r.Kind)
	}
	for _, s := range r.Shares {
		if !services[s.Service] {
			return problem("route %s names the unknown service %q", r.Name, s.Service)
		}
		if s.Weight < 0 {
			return problem("route %s: the weight of %s is negative", r.Name, s.Service)
		}
	}
	if r.weight() <= 0 {
		return problem("route %s: the weights add up to 0", r.Name)
	}
	return nil
}

func (d Document) checkKeys() error {
	holders := map[string]string{}
	for _, w := range d.Workspaces {
		for _, k := range w.Keys {
			if other, ok := holders[k]; ok && other != w.Name {
				return problem("workspaces %s and %s share a key", other, w.Name)
			}
			holders[k] = w.Name
		}
	}
	return nil
}
