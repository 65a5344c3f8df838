package follower

import (
	"fmt"
	"testing"
	"time"

	"hornbeamwood/internal/base/codec"
	"hornbeamwood/internal/settings/section"
	"hornbeamwood/internal/settings/tree"
)

// BenchmarkSettingsChange measures the cost of a small edit at a control replica and at an entry.
func BenchmarkSettingsChange(b *testing.B) {
	for _, n := range []int{10, 350, 1400} {
		s := sectionWithWorkspaces(b, n)
		body, err := codec.Marshal(section.Edit{ID: "small", Base: 1, Operator: "ana", Changes: []tree.Change{
			{Action: tree.Set, Path: "/workspaces/w3/models/m", Key: "priority", Value: tree.IntValue(5)},
		}})
		if err != nil {
			b.Fatal(err)
		}
		snapshot, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("replica/workspaces=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				b.StopTimer()
				if err := s.Restore(snapshot); err != nil {
					b.Fatal(err)
				}
				b.StartTimer()
				s.Apply(time.Unix(1, 0), body)
			}
			b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
		})
		if err := s.Restore(snapshot); err != nil {
			b.Fatal(err)
		}
		before := fullTree(b, s)
		s.Apply(time.Unix(1, 0), body)
		delta := changesAnswer(b, s, 1)
		b.Run(fmt.Sprintf("entry/workspaces=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				c, err := codec.Unmarshal[section.Changes](delta)
				if err != nil {
					b.Fatal(err)
				}
				f := &follower{}
				f.view.Store(&View{Tree: before, Rules: emptyRules(1)})
				if _, err := f.Apply(c); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(delta)), "wire-bytes")
		})
	}
}
