package tree

import (
	"hornbeamwood/internal/settings/rules"
)

// builder holds the data that all workspaces share while a snapshot is built.
type builder struct {
	tree     Tree
	defaults rules.Rules
	services map[string]values
}

// Build returns the effective rules that entries apply at the given revision.
func (t Tree) Build(revision uint64) rules.Snapshot {
	b := builder{tree: t, services: map[string]values{}}
	b.defaults = b.rootRules()
	s := rules.Snapshot{
		Revision:   revision,
		Fleet:      b.fleet(),
		Workspaces: make(map[string]rules.Workspace, t.workspaces.size()),
		Models:     map[string]rules.Model{},
		Services:   map[string]rules.Service{},
		Operators:  map[string][][32]byte{},
	}
	for _, n := range t.models.names() {
		s.Models[n] = b.model(n)
	}
	for _, n := range t.services.names() {
		b.services[n], _ = t.services.get(n)
		s.Services[n] = rules.Service{Name: n}
	}
	for _, n := range t.operators.names() {
		s.Operators[n] = b.operator(n)
	}
	for _, n := range t.workspaces.names() {
		s.Workspaces[n] = b.workspace(n)
	}
	return s
}

func ruleOf(s Setting) func(*rules.Rules, Value)          { return s.rule }
func fleetOf(s Setting) func(*rules.Fleet, Value)         { return s.fleet }
func modelOf(s Setting) func(*rules.Model, Value)         { return s.model }
func workspaceOf(s Setting) func(*rules.Workspace, Value) { return s.workspace }
func operatorOf(s Setting) func(*[][32]byte, Value)       { return s.operator }
func defaultsOf(pick func(Setting) bool) (defaults values) {
	defaults = values{}
	for _, s := range schema {
		if pick(s) {
			defaults[s.Name] = s.Default
		}
	}
	return defaults
}

var (
	ruleDefaults      = defaultsOf(func(s Setting) bool { return s.rule != nil })
	fleetDefaults     = defaultsOf(func(s Setting) bool { return s.fleet != nil })
	modelDefaults     = defaultsOf(func(s Setting) bool { return s.model != nil })
	workspaceDefaults = defaultsOf(func(s Setting) bool { return s.workspace != nil })
)

func (b builder) rootRules() rules.Rules {
	var r rules.Rules
	overlay(ruleDefaults, &r, ruleOf)
	overlay(b.tree.root, &r, ruleOf)
	return r
}

func (b builder) fleet() rules.Fleet {
	var f rules.Fleet
	overlay(fleetDefaults, &f, fleetOf)
	overlay(b.tree.fleet, &f, fleetOf)
	return f
}

func (b builder) model(name string) rules.Model {
	m := rules.Model{Name: name}
	own, _ := b.tree.models.get(name)
	overlay(modelDefaults, &m, modelOf)
	overlay(b.tree.root, &m, modelOf)
	overlay(own, &m, modelOf)
	return m
}

func (b builder) operator(name string) [][32]byte {
	var keys [][32]byte
	own, _ := b.tree.operators.get(name)
	overlay(own, &keys, operatorOf)
	return keys
}

func (b builder) workspace(name string) rules.Workspace {
	own, _ := b.tree.workspaces.get(name)
	w := rules.Workspace{
		Name:     name,
		Models:   make(map[string]rules.Rules, len(own.models)),
		Services: make(map[string]rules.Rules, len(own.services)),
	}
	overlay(workspaceDefaults, &w, workspaceOf)
	overlay(b.tree.root, &w, workspaceOf)
	overlay(own.values, &w, workspaceOf)
	shared := b.defaults
	overlay(own.values, &shared, ruleOf)
	for n, v := range own.models {
		r := shared
		overlay(v, &r, ruleOf)
		w.Models[n] = r
	}
	for n, v := range own.services {
		r := shared
		overlay(b.services[n], &r, ruleOf)
		overlay(v, &r, ruleOf)
		w.Services[n] = r
	}
	return w
}
