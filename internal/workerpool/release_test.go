package workerpool

import (
	"bufio"
	"strings"
	"testing"

	"ravenhitch/internal/testbed/nettest"
)

// If a release is requested before the connection to the worker is established, it is sent once the connection is up.
// It stays unconfirmed until the worker confirms it. A release for an unknown worker is ignored.
func TestUnconfirmedReleaseIsResent(t *testing.T) {
	lt := newLinkTest(t)
	l := lt.listWorker()
	lt.pool.Release(workerName, requestID)
	lt.pool.Release("unknown worker", requestID)
	if !lt.pool.HasUnconfirmedReleases() {
		t.Error("HasUnconfirmedReleases() = false after a release, want true")
	}

	lt.runUntil(func() bool { return l.conns[0].conn.IsUp() })
	line, err := bufio.NewReader(nettest.Accept(t, lt.listener)).ReadString('\n')
	if err != nil || !strings.Contains(line, `"verb":"FINISH","tag":"`+requestID+`"`) {
		t.Errorf("the worker received %q, error %v; want the release", line, err)
	}

	l.releases.confirm(requestID)
	if lt.pool.HasUnconfirmedReleases() {
		t.Error("HasUnconfirmedReleases() = true after the confirmation, want false")
	}
}

func TestUnconfirmedReleasesExpire(t *testing.T) {
	releases := unconfirmedReleases{"old": 0, "recent": 1}
	releases.expire(releaseRetention + 1)
	if _, ok := releases["old"]; ok {
		t.Error("a release older than releaseRetention was not deleted")
	}
	if _, ok := releases["recent"]; !ok {
		t.Error("a release of age releaseRetention was deleted")
	}
}
