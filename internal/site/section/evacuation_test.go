package section

import "testing"

func order(zone string, active bool, after uint64) Command {
	return Command{SetEvacuation: &SetEvacuation{Zone: zone, Active: active, After: after, At: 1}}
}

// Guards against a late order that undoes a later one: a start that one replica still holds is
// applied after the operator has sent it again elsewhere and ended the evacuation.
func TestOvertakenEvacuationOrderChangesNothing(t *testing.T) {
	s := New(Config{})
	steps := []struct {
		name      string
		order     Command
		overtaken bool
		active    bool
	}{
		{"start", order("z", true, 0), false, true},
		{"the start again, received before the first was accepted", order("z", true, 0), true, true},
		{"end", order("z", false, 1), false, false},
		{"a start that was received before the end", order("z", true, 1), true, false},
		{"an end that changes nothing", order("z", false, 2), false, false},
		{"a start that was received before that end", order("z", true, 2), true, false},
		{"a new start", order("z", true, 3), false, true},
	}
	for _, x := range steps {
		r := apply(t, s, x.order)
		if e := s.Evacuations()["z"]; !r.Accepted || r.Overtaken != x.overtaken || e.Active != x.active {
			t.Errorf("%s: %+v, %+v", x.name, r, e)
		}
	}
	if r := apply(t, s, order("", true, 0)); r.Accepted || len(s.Evacuations()) != 1 {
		t.Errorf("an order without a zone: %+v", r)
	}
}

// Guards against an evacuation that is lost with a replaced disk: the new disk gets a snapshot.
func TestEvacuationsAreInTheSnapshot(t *testing.T) {
	s := New(Config{})
	apply(t, s, order("z", true, 0))
	b, err := s.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	restored := New(Config{})
	if err := restored.Restore(b); err != nil {
		t.Fatal(err)
	}
	if e := restored.Evacuations()["z"]; !e.Active || e.Number != 1 || e.ChangedAt != 1 {
		t.Errorf("restored %+v", e)
	}
	if r := apply(t, restored, order("z", false, 1)); r.Overtaken {
		t.Error("the end was refused after the restore")
	}
}
