package workerpool

import (
	"bufio"
	"strings"
	"testing"

	"ravenhitch/internal/jsonlines"
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

// Guards against a copy of the rejection of an earlier offer that confirms the release of the task: a release that is lost with
// its connection would not be sent again, and the task would run on.
func TestRejectionCopyConfirmsNoRelease(t *testing.T) {
	lt := newLinkTest(t)
	l := lt.listWorker()
	lt.runUntil(func() bool { return l.conns[0].conn.IsUp() })
	lt.adopt(requestID)
	lt.pool.Release(workerName, requestID)
	for _, test := range []struct {
		code        int
		unconfirmed bool
	}{{jsonlines.CodeRejected, true}, {jsonlines.CodeNeverSent, true}, {jsonlines.CodeCancelled, false}} {
		l.conns[0].handleMessage(&jsonlines.Message{Verb: jsonlines.VerbFinish, Tag: requestID, RC: test.code, HasRC: true})
		if got := lt.pool.HasUnconfirmedReleases(); got != test.unconfirmed {
			t.Errorf("HasUnconfirmedReleases() = %v after FINISH %d, want %v", got, test.code, test.unconfirmed)
		}
	}
}

// A worker is silent, and another connection to it is being dialled, which may never come up. A release is sent on the
// connection that is up. It guards against a task that runs on because its release waits for a connection that nobody opens.
func TestReleaseIsSentWhileConnectionIsDialled(t *testing.T) {
	lt := newLinkTest(t)
	l := lt.listWorker()
	lt.runUntil(func() bool { return l.conns[0].conn.IsUp() })
	worker := bufio.NewReader(nettest.Accept(t, lt.listener))
	l.dial()
	lt.pool.Release(workerName, requestID)
	l.conns[0].conn.Flush()
	line, err := worker.ReadString('\n')
	if err != nil || !strings.Contains(line, `"verb":"FINISH","tag":"`+requestID+`"`) {
		t.Errorf("the worker received %q, error %v; want the release", line, err)
	}
	if len(l.conns) != 2 {
		t.Errorf("%d connections, want the one that is up and the one that is dialled", len(l.conns))
	}
}
