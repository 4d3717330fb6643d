package workerpool

import (
	"bufio"
	"strings"
	"testing"

	"ravenhitch/internal/testbed/nettest"
)

// Given a release that the worker has not confirmed, it is sent again on each new connection until the worker reports
// the end of the task.
func TestUnconfirmedReleaseIsResent(t *testing.T) {
	lt := newLinkTest(t)
	l := lt.listWorker()
	lt.pool.Release(workerName, requestID)
	lt.pool.Release("unknown worker", requestID)
	if !lt.pool.HasUnconfirmedReleases() {
		t.Error("the release counts as confirmed")
	}

	lt.runUntil(func() bool { return l.conns[0].conn.IsUp() })
	line, err := bufio.NewReader(nettest.Accept(t, lt.listener)).ReadString('\n')
	if err != nil || !strings.Contains(line, `"verb":"FINISH","tag":"`+requestID+`"`) {
		t.Errorf("the worker received %q, %v", line, err)
	}

	l.releases.confirm(requestID)
	if lt.pool.HasUnconfirmedReleases() {
		t.Error("the release counts as unconfirmed after the worker's report")
	}
}

func TestUnconfirmedReleasesExpire(t *testing.T) {
	releases := unconfirmedReleases{"old": 0, "recent": 1}
	releases.expire(releaseRetention + 1)
	if _, ok := releases["old"]; ok {
		t.Error("a release is retained for too long")
	}
	if _, ok := releases["recent"]; !ok {
		t.Error("a release was forgotten too early")
	}
}
