// Package descriptors owns how the file descriptors of one process are shared between connections to
// clients and connections to workers, where both could use more than there are. Each side may borrow
// what the other does not use, and leaves free the share that the other is guaranteed; the connection to
// discovery always finds one. It opens and closes nothing itself.
package descriptors

const (
	// reserved descriptors are left free by clients and workers for the connection to discovery, for
	// operators' calls, and for a client that is accepted before the connection evicted for it is closed.
	reserved = 4
	// programUse is what the program itself has open beside the reserved ones: the listening socket
	// and the connection to discovery.
	programUse = 2
	// clientShareDivisor gives the share of the budget, one in so many, that optional connections
	// to workers leave to clients: clients use at most a third of the limit.
	clientShareDivisor = 3
	// minClientShareDivisor gives the share that is left to clients even by required connections to
	// workers: those to workers with running tasks, or for which an offer waits.
	minClientShareDivisor = 8
)

// Budget is the descriptor budget of one process, shared between clients and workers. A nil Budget
// admits every connection.
type Budget struct {
	free       func() int // descriptors that are not in use
	total      int
	maxClients int
	clients    func() int // connected now
	workers    int        // connections to workers
}

// New returns a budget of total descriptors, of which clients use at most maxClients; free returns how
// many are not in use, and clients how many clients are connected.
func New(total, maxClients int, free, clients func() int) *Budget {
	return &Budget{free: free, total: total, maxClients: maxClients, clients: clients}
}

// WorkersConnected counts connections to workers that were opened, or closed where count is negative.
func (b *Budget) WorkersConnected(count int) {
	if b != nil {
		b.workers += count
	}
}

// AdmitsClient reports whether another client may be connected beside those that are.
func (b *Budget) AdmitsClient() bool {
	if b == nil {
		return true
	}
	workerShare := b.total - b.maxClients - reserved - programUse
	return b.free() > reserved+max(0, workerShare-b.workers)
}

// AdmitsWorker reports whether another worker may be connected beside those that are.
func (b *Budget) AdmitsWorker() bool { return b.leavesToClients(clientShareDivisor) }

// AdmitsRequiredWorker reports whether a worker may be connected that has running tasks, or for which an
// offer waits.
func (b *Budget) AdmitsRequiredWorker() bool { return b.leavesToClients(minClientShareDivisor) }

// leavesToClients reports whether clients still find their share, one in divisor of the budget, beside
// another connection to a worker.
func (b *Budget) leavesToClients(divisor int) bool {
	if b == nil {
		return true
	}
	return b.free() > reserved+max(0, b.total/divisor-b.clients())
}
