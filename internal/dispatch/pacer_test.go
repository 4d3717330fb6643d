package dispatch

import "testing"

// Answers that fall due together are put earlier, in order, by what writing them
// takes; none later than its owner's time.
func TestAnswersDueTogether(t *testing.T) {
	var s responsePacer
	now, over := int64(1_000_000_000), int64(1_006_000_000)
	s.observeTurn(now, 500)
	perGrain := map[int64]int{}
	least := over
	for range 2000 {
		at := s.reserve(now, over)
		if at > over-responseTravelTime {
			t.Fatalf("due %d us before the end", over-at)
		}
		perGrain[at/bucketLength]++
		least = min(least, at)
	}
	for g, n := range perGrain {
		if float64(n)*s.cost > bucketLength {
			t.Errorf("%d answers of %.0f us in grain %d", n, s.cost, g)
		}
	}
	if early := over - least; early < 2000*int64(initialCost) || early > maxEarly+responseTravelTime {
		t.Errorf("the first is due %d us before the end", early)
	}
	if at := s.reserve(now, over+1_000_000); at < over+1_000_000-responseTravelTime-1000 {
		t.Errorf("one alone is due %d us before its end", over+1_000_000-at)
	}
}

// A long turn is reckoned with, and forgotten.
func TestLongTurns(t *testing.T) {
	var s responsePacer
	now := int64(1_000_000_000)
	s.observeTurn(now, 40_000)
	if at := s.reserve(now, now+6_000_000); at > now+6_000_000-responseTravelTime-40_000 {
		t.Errorf("after a turn of 40 ms it is due %d us before the end", now+6_000_000-at)
	}
	for range 100 {
		now += 100_000
		s.observeTurn(now, 200)
	}
	if at := s.reserve(now, now+6_000_000); at < now+6_000_000-responseTravelTime-2000 {
		t.Errorf("ten seconds later it is due %d us before the end", now+6_000_000-at)
	}
}

// A wait that is nearly over, beyond the reach of the counts, or after a long silence
// is due before its end all the same.
func TestOddWaits(t *testing.T) {
	var s responsePacer
	now := int64(1_000_000_000)
	for _, wait := range []int64{1, 5_000, 20_000, 30_000_000, 86_400_000_000} {
		s.observeTurn(now, 100)
		if at := s.reserve(now, now+wait); at > now+wait-responseTravelTime {
			t.Errorf("a wait of %d: due %d us before its end", wait, now+wait-at)
		}
		now += 600_000_000
	}
}
