// Package descriptors decides how the file descriptors of one process are shared between connections to
// clients and connections to workers when both together could use more than the limit. Each side may
// borrow descriptors that the other side does not use, but leaves free the share that the other side is
// guaranteed. A descriptor always remains for the connection to discovery. The package opens and closes
// no descriptors itself.
package descriptors

const (
	// reserved is the number of descriptors that clients and workers leave free. These descriptors serve a
	// new connection to discovery, admin calls of operators, and a newly accepted client, because the connection
	// that was evicted for such a client may still be open.
	reserved = 4
	// programUse is the number of descriptors that the program itself keeps open in addition to the
	// reserved ones: the listening socket and the connection to discovery.
	programUse = 2
	// clientShareDivisor limits the optional connections to workers: they always leave 1/clientShareDivisor of the
	// budget to clients. A third suffices because clients normally use no more than that. Clients may borrow more,
	// up to Budget.maxClients, if connections to workers leave descriptors free.
	clientShareDivisor = 3
	// minClientShareDivisor limits all connections to workers, including required ones: they always leave
	// 1/minClientShareDivisor of the budget to clients. A connection is required if it is the only one to a worker with
	// running tasks, or if a message, such as an offer, is waiting to be sent on it.
	minClientShareDivisor = 8
	// collectorShareDivisor sets the part of the budget, 1/collectorShareDivisor, that required connections to workers leave
	// free while it is reserved for connections that collect completions for an earlier process.
	collectorShareDivisor = 16
)

// Budget is the descriptor budget of one process, shared between connections to clients and connections
// to workers. A nil Budget admits every connection.
type Budget struct {
	freeDescriptors  func() int // returns the number of descriptors not in use
	total            int        // size of the budget, in descriptors
	maxClients       int        // maximum number of client connections
	connectedClients func() int // returns the number of client connections
	workerConns      int        // number of connections to workers
	reservesShare    bool       // a share is reserved for connections that collect completions
}

// New returns a budget of total descriptors, of which clients use at most maxClients. The function free
// returns the number of descriptors not in use, and clients returns the number of connected clients.
func New(total, maxClients int, free, clients func() int) *Budget {
	return &Budget{freeDescriptors: free, total: total, maxClients: maxClients, connectedClients: clients}
}

// AddWorkerConns adds count to the number of connections to workers. A negative count records closed
// connections.
func (b *Budget) AddWorkerConns(count int) {
	if b != nil {
		b.workerConns += count
	}
}

// AdmitsClient reports whether the budget allows one more connection to a client.
func (b *Budget) AdmitsClient() bool {
	if b == nil {
		return true
	}
	workerShare := b.total - b.maxClients - reserved - programUse
	return b.freeDescriptors() > reserved+max(0, workerShare-b.workerConns)
}

// AdmitsWorker reports whether the budget allows one more optional connection to a worker. If it does not,
// AdmitsRequiredWorker may still allow a required connection.
func (b *Budget) AdmitsWorker() bool { return b.preservesClientShare(clientShareDivisor, 0) }

// AdmitsRequiredWorker reports whether the budget allows one more connection to a worker that has running
// tasks or for which a message, such as an offer, is waiting.
func (b *Budget) AdmitsRequiredWorker() bool {
	share := 0
	if b != nil && b.reservesShare {
		share = b.total / collectorShareDivisor
	}
	return b.preservesClientShare(minClientShareDivisor, share)
}

// AdmitsCollector reports whether the budget allows one more connection to a worker that may keep completions for an earlier
// process. Such a connection may use the share that ReserveForCollection reserves, and leaves clients their minimum share.
func (b *Budget) AdmitsCollector() bool { return b.preservesClientShare(minClientShareDivisor, 0) }

// ReserveForCollection sets whether a share is reserved for connections that collect completions for an earlier process.
func (b *Budget) ReserveForCollection(reserve bool) {
	if b != nil {
		b.reservesShare = reserve
	}
}

// preservesClientShare reports whether the reserved descriptors, the unused part of the clients' share and further descriptors
// stay free if one more connection to a worker is opened. The clients' share is 1/divisor of the budget.
func (b *Budget) preservesClientShare(divisor, further int) bool {
	if b == nil {
		return true
	}
	return b.freeDescriptors() > reserved+further+max(0, b.total/divisor-b.connectedClients())
}
