package dispatch

import "testing"

// pacerStart is the time at which the tests of the pacer start, in microseconds.
const pacerStart = int64(1000 * second)

// If the timeouts of many requests end at the same time, the pacer spreads the responses over several of its buckets
// before that time, so that there is time to write all of them. Each response is scheduled at least
// responseTravelTime before the end of its timeout. A single response is not scheduled earlier than necessary.
func TestResponsesDueTogether(t *testing.T) {
	var pacer responsePacer
	timeoutAt := pacerStart + 6*second
	pacer.observeTurn(pacerStart, 500)
	perBucket := map[int64]int{}
	earliest := timeoutAt
	for range 2000 {
		scheduledAt := pacer.scheduleResponse(pacerStart, timeoutAt)
		if scheduledAt > timeoutAt-responseTravelTime {
			t.Fatalf("a response is scheduled %d us before the timeout, less than the travel time", timeoutAt-scheduledAt)
		}
		perBucket[scheduledAt/bucketLength]++
		earliest = min(earliest, scheduledAt)
	}
	for bucket, count := range perBucket {
		if float64(count)*pacer.responseCost > bucketLength {
			t.Errorf("%d responses of %.0f us each in bucket %d, want at most bucketLength in total",
				count, pacer.responseCost, bucket)
		}
	}
	if early := timeoutAt - earliest; early < 2000*int64(initialResponseCost) || early > maxShift+responseTravelTime {
		t.Errorf("earliest response: %d us before its timeout, want 2000 * initialResponseCost to maxShift + responseTravelTime", early)
	}
	later := timeoutAt + 1*second
	if scheduledAt := pacer.scheduleResponse(pacerStart, later); scheduledAt < later-responseTravelTime-1*millisecond {
		t.Errorf("a single response is scheduled %d us before its timeout, want at most responseTravelTime + 1 ms",
			later-scheduledAt)
	}
}

// After a long turn, responses are scheduled earlier by the length of that turn. After 10 s of short turns, they no
// longer are.
func TestLongTurns(t *testing.T) {
	var pacer responsePacer
	now := pacerStart
	pacer.observeTurn(now, 40*millisecond)
	timeoutAt := now + 6*second
	if scheduledAt := pacer.scheduleResponse(now, timeoutAt); scheduledAt > timeoutAt-responseTravelTime-40*millisecond {
		t.Errorf("response after a turn of 40 ms: scheduled %d us early, want responseTravelTime + 40 ms or more",
			timeoutAt-scheduledAt)
	}
	for range 100 {
		now += 100 * millisecond
		pacer.observeTurn(now, 200)
	}
	timeoutAt = now + 6*second
	if scheduledAt := pacer.scheduleResponse(now, timeoutAt); scheduledAt < timeoutAt-responseTravelTime-2*millisecond {
		t.Errorf("response after 10 s of short turns: scheduled %d us early, want responseTravelTime + 2 ms or less",
			timeoutAt-scheduledAt)
	}
}

// A response is scheduled at least responseTravelTime before the end of its timeout, even if that is in the past
// because the timeout is short. The same holds if the timeout ends after the last bucket, or if the previous response
// was scheduled long ago.
func TestUnusualTimeouts(t *testing.T) {
	var pacer responsePacer
	now := pacerStart
	for _, timeout := range []int64{1, 5 * millisecond, 20 * millisecond, 30 * second, 86_400 * second} {
		pacer.observeTurn(now, 100)
		if scheduledAt := pacer.scheduleResponse(now, now+timeout); scheduledAt > now+timeout-responseTravelTime {
			t.Errorf("timeout of %d us: response scheduled %d us before its end, less than the travel time",
				timeout, now+timeout-scheduledAt)
		}
		now += 600 * second
	}
}
