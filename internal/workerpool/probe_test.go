package workerpool

import (
	"math"
	"testing"

	"ravenhitch/placement"
)

func TestParseLoad(t *testing.T) {
	unknown := math.NaN()
	for _, c := range []struct {
		name, text string
		want       placement.Load
	}{
		{"empty", "", placement.Load{FreeCores: unknown, FreeMemory: unknown, Utilization: unknown, Queued: unknown}},
		{"all names", "x0:1.5;x1:2,util:0.25;queue:3",
			placement.Load{FreeCores: 1.5, FreeMemory: 2, Utilization: 0.25, Queued: 3}},
		{"alternative names", "utilization:0.5;backlog:4",
			placement.Load{FreeCores: unknown, FreeMemory: unknown, Utilization: 0.5, Queued: 4}},
		{"the last value counts", "x0:1;x0:2",
			placement.Load{FreeCores: 2, FreeMemory: unknown, Utilization: unknown, Queued: unknown}},
		{"no number, no colon, an unknown name", "x0:many;x1;x2:7;queue:1",
			placement.Load{FreeCores: unknown, FreeMemory: unknown, Utilization: unknown, Queued: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := parseLoad(c.text)
			for field, pair := range map[string][2]float64{
				"free cores":  {got.FreeCores, c.want.FreeCores},
				"free memory": {got.FreeMemory, c.want.FreeMemory},
				"utilization": {got.Utilization, c.want.Utilization},
				"queued":      {got.Queued, c.want.Queued},
			} {
				if got, want := pair[0], pair[1]; got != want && !(math.IsNaN(got) && math.IsNaN(want)) {
					t.Errorf("%s: got %v, want %v", field, got, want)
				}
			}
		})
	}
}
