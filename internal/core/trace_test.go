package core

import "testing"

// Only tags with one of the endings are traced; without endings, all are.
func TestTraced(t *testing.T) {
	for _, x := range []struct {
		endings []string
		tag     string
		want    bool
	}{
		{nil, "6c74d45b160bf556", true},
		{[]string{"160bf556"}, "6c74d45b160bf556", true},
		{[]string{"42ac8ba6", "160bf556"}, "6c74d45b160bf556", true},
		{[]string{"42ac8ba6"}, "6c74d45b160bf556", false},
		{[]string{"6c74d45b"}, "6c74d45b160bf556", false},
	} {
		if got := Traced(x.endings, x.tag); got != x.want {
			t.Errorf("Traced(%v, %s) = %v", x.endings, x.tag, got)
		}
	}
}
