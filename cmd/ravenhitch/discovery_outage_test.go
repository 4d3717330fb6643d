package main

// This file tests outages of discovery. The server keeps serving with the last list of workers and follows
// discovery again after the outage, even if idle clients use up the descriptors during the outage.

import (
	"fmt"
	"net"
	"testing"

	"ravenhitch/internal/testbed"
)

// While discovery refuses connections, is silent or is unreachable, the server serves with the list of workers
// that it was started with, and keeps polling.
func TestServesWithoutDiscovery(t *testing.T) {
	for _, test := range []struct {
		name string
		// listen returns the address of discovery. If discovery accepts connections, listen also returns a
		// channel that receives each connection that the server opens for a poll; otherwise the channel is
		// nil.
		listen func(t *testing.T) (addr string, polls <-chan net.Conn)
	}{
		{"it refuses", func(t *testing.T) (string, <-chan net.Conn) {
			listener := listenLocal(t)
			testbed.Refuse(t, listener)
			return listener.Addr().String(), nil
		}},
		{"it is silent", func(t *testing.T) (string, <-chan net.Conn) {
			listener := listenLocal(t)
			return listener.Addr().String(), acceptAll(listener)
		}},
		{"connections to it never come up", func(t *testing.T) (string, <-chan net.Conn) {
			proxy := testbed.NewProxy(t, testbed.NewWorker(t, "nobody"))
			proxy.Partition(t)
			return proxy.Addr(), nil
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			addr, polls := test.listen(t)
			server := startTestServer(t, serverOptions{discoveryAddr: func(string) string { return addr }}, "a")

			client, restarted := server.connect(t), server.connect(t)
			for i := range 200 { // a restarted client registers its running tasks, all at once
				testbed.Send(restarted, adoptedLine(testbed.RequestID(100+i), "a"))
			}
			pingServer(t, client)
			testbed.Send(client, testbed.StartLine(testbed.RequestID(1), "guide-web", "ok-1", 5000))
			if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
				t.Errorf("response: got %v, want STARTED", line)
			}
			for range 2 {
				if polls != nil {
					closeOnCleanup(t, testbed.Wait(t, "a poll", polls))
				}
			}
			server.loop.Post(server.loop.Stop)
			if err := server.waitStopped(t); err != nil {
				t.Error(err)
			}
		})
	}
}

// acceptAll accepts connections in the background until the listener is closed, and sends nothing on them. The
// returned channel receives each connection.
func acceptAll(listener net.Listener) <-chan net.Conn {
	accepted := make(chan net.Conn, 100)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			accepted <- conn
		}
	}()
	return accepted
}

// discoveryProxyServer is a server that connects to discovery through a proxy.
type discoveryProxyServer struct {
	*testServer
	discoveryProxy *testbed.Proxy
}

// newServerWithDiscoveryProxy starts a server that connects to discovery through a proxy. The server has the given
// number of workers and serves at most maxClients clients.
func newServerWithDiscoveryProxy(t *testing.T, workers int) *discoveryProxyServer {
	t.Helper()
	var names []string
	for i := range workers {
		names = append(names, fmt.Sprintf("w%02d", i))
	}
	s := &discoveryProxyServer{}
	s.testServer = startTestServer(t, serverOptions{sockets: smallSocketLimit, discoveryAddr: func(addr string) string {
		s.discoveryProxy = testbed.NewProxyTo(t, addr)
		return s.discoveryProxy.Addr()
	}}, names...)
	return s
}

// During an outage of discovery, idle clients fill the connection table and more connections are queued. After
// the outage, the server still connects to discovery and to a newly listed worker, and still serves a new
// client that pings and submits a request.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	for _, test := range []struct {
		name  string
		begin func(t *testing.T, server *discoveryProxyServer) (end func())
	}{
		{"it is silent", func(t *testing.T, server *discoveryProxyServer) func() {
			server.discoveryProxy.Partition(t)
			return func() { server.discoveryProxy.Heal(t) }
		}},
		{"its connections break", func(t *testing.T, server *discoveryProxyServer) func() {
			server.discovery.Server.CloseClientConnections()
			server.discoveryProxy.Partition(t)
			return func() { server.discoveryProxy.Heal(t) }
		}},
		{"its connections stay open and silent", func(_ *testing.T, server *discoveryProxyServer) func() {
			server.discoveryProxy.Blackhole()
			return func() {}
		}},
	} {
		for _, workers := range []int{1, 40} {
			t.Run(fmt.Sprintf("%s, %d workers", test.name, workers), func(t *testing.T) {
				t.Parallel()
				server := newServerWithDiscoveryProxy(t, workers)
				server.discovery.WaitPolled(t)
				end := test.begin(t, server)
				fillWithIdleClients(t, server)
				next := testbed.NewWorker(t, "next")
				server.discovery.Add(false, next.ListEntry("up"))

				endedAt := server.now(t)
				end()
				server.discovery.WaitPolled(t)
				t.Logf("the list of workers was read %d ms after the outage", (server.now(t)-endedAt)/millisecond)

				server.onLoop(t, func() { server.pool.Probe("next") })
				server.waitUntil(t, "a probe", func() bool { return next.PingCount() > 0 })
				client := server.connect(t)
				pingServer(t, client)
				testbed.Send(client, testbed.StartLine(testbed.RequestID(9999), "guide-web", "ok-true", 5000))
				if line := testbed.Wait(t, "the response", client.Lines); line.Verb != "STARTED" {
					t.Errorf("response: got %v, want STARTED", line)
				}
				server.onLoop(t, func() {
					t.Logf("%d free descriptors, %d connected clients", server.loop.FreeDescriptors(), server.clientFront.Connections())
				})
			})
		}
	}
}

// fillWithIdleClients connects four times as many clients as the connection table can contain. Every second client
// sends one message.
func fillWithIdleClients(t *testing.T, server *discoveryProxyServer) {
	t.Helper()
	for i := range 4 * maxClients {
		client := server.connect(t)
		if i%2 == 0 {
			testbed.Send(client, testbed.Line{Verb: "PENDING", Tag: testbed.RequestID(i), Opts: map[string]string{}})
		}
	}
}
