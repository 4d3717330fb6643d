package admin

import "testing"

func TestFigures(t *testing.T) {
	f := Figures{Responses: map[string]Class{"C": {812, 3, 1}}, Attempts: 820, Active: 14, Pool: 10, Ejected: 2}
	want := `{"responses":{"C":{"ok":812,"shed":3,"errors":1}},"tries":820,"active":14,"pool_size":10,"pool_ejected":2}` + "\n.\n"
	if got := string(f.Reply()); got != want {
		t.Errorf("Reply: got %s, want %s", got, want)
	}
}
