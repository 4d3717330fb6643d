package dispatch

import "testing"

// pacerStart is a point in time at which the tests of the pacer start.
const pacerStart = int64(1000 * second)

// Responses that would be sent together are scheduled earlier, in order, by what writing them
// takes; none later than its client's timeout.
func TestResponsesDueTogether(t *testing.T) {
	var pacer responsePacer
	timeoutAt := pacerStart + 6*second
	pacer.observeTurn(pacerStart, 500)
	perBucket := map[int64]int{}
	earliest := timeoutAt
	for range 2000 {
		scheduledAt := pacer.scheduleResponse(pacerStart, timeoutAt)
		if scheduledAt > timeoutAt-responseTravelTime {
			t.Fatalf("scheduled %d us before the timeout", timeoutAt-scheduledAt)
		}
		perBucket[scheduledAt/bucketLength]++
		earliest = min(earliest, scheduledAt)
	}
	for bucket, count := range perBucket {
		if float64(count)*pacer.responseCost > bucketLength {
			t.Errorf("%d responses of %.0f us in bucket %d", count, pacer.responseCost, bucket)
		}
	}
	if early := timeoutAt - earliest; early < 2000*int64(initialResponseCost) || early > maxShift+responseTravelTime {
		t.Errorf("the first is scheduled %d us before the timeout", early)
	}
	later := timeoutAt + 1*second
	if scheduledAt := pacer.scheduleResponse(pacerStart, later); scheduledAt < later-responseTravelTime-1*millisecond {
		t.Errorf("a single one is scheduled %d us before its timeout", later-scheduledAt)
	}
}

// A long turn is reckoned with, and forgotten.
func TestLongTurns(t *testing.T) {
	var pacer responsePacer
	now := pacerStart
	pacer.observeTurn(now, 40*millisecond)
	timeoutAt := now + 6*second
	if scheduledAt := pacer.scheduleResponse(now, timeoutAt); scheduledAt > timeoutAt-responseTravelTime-40*millisecond {
		t.Errorf("after a turn of 40 ms it is scheduled %d us before the timeout", timeoutAt-scheduledAt)
	}
	for range 100 {
		now += 100 * millisecond
		pacer.observeTurn(now, 200)
	}
	timeoutAt = now + 6*second
	if scheduledAt := pacer.scheduleResponse(now, timeoutAt); scheduledAt < timeoutAt-responseTravelTime-2*millisecond {
		t.Errorf("ten seconds later it is scheduled %d us before the timeout", timeoutAt-scheduledAt)
	}
}

// A timeout that is nearly over, beyond the reach of the buckets, or after a long pause
// is met all the same.
func TestUnusualTimeouts(t *testing.T) {
	var pacer responsePacer
	now := pacerStart
	for _, timeout := range []int64{1, 5 * millisecond, 20 * millisecond, 30 * second, 86_400 * second} {
		pacer.observeTurn(now, 100)
		if scheduledAt := pacer.scheduleResponse(now, now+timeout); scheduledAt > now+timeout-responseTravelTime {
			t.Errorf("a timeout of %d: scheduled %d us before its end", timeout, now+timeout-scheduledAt)
		}
		now += 600 * second
	}
}
