package main

// This file tests that workers can recognise a repeat of a task of a keyed class, through either front.

import (
	"context"
	"testing"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ravenhitch/internal/config"
	"ravenhitch/internal/testbed"
)

// keyedClass is the class whose repeats workers of a zone discard in these tests.
const keyedClass = "guide-web"

// newKeyedServer starts a server with a gRPC front, a keyed class and two workers in one zone.
func newKeyedServer(t *testing.T) *testServer {
	t.Helper()
	settings := changedSettings(t, settingChange{"RequestClasses.0.Semantics", "guarded"}, settingChange{"RequestClasses.0.Group", "zone"},
		settingChange{"Limits.AttemptsCap", 2})
	return startTestServer(t, serverOptions{settings: settings, operators: config.OperatorSettings{GRPCListen: "127.0.0.1:0"}}, "a", "b")
}

// offeredKeys returns the idempotency keys of the given number of offers, in any order, and fails the test if there are more.
func (s *testServer) offeredKeys(t *testing.T, count int) (keys []string) {
	t.Helper()
	for range count {
		select {
		case offer := <-s.workers[0].Offers:
			keys = append(keys, offer.Opts["idem"])
		case offer := <-s.workers[1].Offers:
			keys = append(keys, offer.Opts["idem"])
		default:
			t.Fatalf("got %d offers, want %d", len(keys), count)
		}
	}
	if left := len(s.workers[0].Offers) + len(s.workers[1].Offers); left > 0 {
		t.Fatalf("got %d further offers, want %d in all", left, count)
	}
	return keys
}

// Guards against a keyed task of the gRPC front that runs twice at once, as its attempts carried no key by which the second
// worker recognises a repeat (review/6). All tries have one key: the attempts of an offer, and a further offer of the task at
// another orchestrator. A key that the client gives is passed on.
func TestKeyedTaskOverGRPCCarriesItsKey(t *testing.T) {
	var derived string
	for range 2 { // two orchestrators
		server := newKeyedServer(t)
		for i, given := range []string{"", "279ca3614cb41c092fc30eea25e0d5b5"} {
			offer := newOffer(testbed.RequestID(i+1), keyedClass, "reset-"+given, 5000)
			offer.IdempotencyKey = given
			if _, err := server.grpcClient(t).Place(context.Background(), offer); status.Code(err) != codes.Unknown {
				t.Fatalf("key %q: got error %v, want that the task may have started", given, err)
			}
			keys := server.offeredKeys(t, 2)
			if given == "" && derived == "" {
				derived = keys[0]
			}
			want := given
			if given == "" {
				want = derived
			}
			if want == "" || keys[0] != want || keys[1] != want {
				t.Errorf("key %q: the two attempts carried the keys %q, want %q in both", given, keys, want)
			}
		}
	}
}

// A keyed task over gRPC session and as a JSON line without a key: the first has a key, the second is not repeated once it may
// have run.
func TestKeyedTaskWithoutKeyIsOfferedOnce(t *testing.T) {
	server := newKeyedServer(t)
	session := server.openSession(t, "s")
	session.sendOffer(t, newOffer(testbed.RequestID(1), keyedClass, "reset-1", 5000))
	testbed.Wait(t, "the response", session.messages)
	if keys := server.offeredKeys(t, 2); keys[0] == "" || keys[0] != keys[1] {
		t.Errorf("over a session, the two attempts carried the keys %q, want one key", keys)
	}
	client := server.connect(t)
	testbed.Send(client, testbed.StartLine(testbed.RequestID(2), keyedClass, "reset-2", 5000))
	expectCode(t, "the response", client, testbed.RequestID(2), codeFailed)
	server.offeredKeys(t, 1)
	line := testbed.StartLine(testbed.RequestID(3), keyedClass, "reset-3", 5000)
	line.Opts["idem"] = "k"
	testbed.Send(client, line)
	expectCode(t, "the response", client, testbed.RequestID(3), codeFailed)
	if keys := server.offeredKeys(t, 2); keys[0] != "k" || keys[1] != "k" {
		t.Errorf("as a JSON line with a key, the two attempts carried the keys %q, want %q", keys, "k")
	}
}
