package placement

// This file tracks how much of its quota each tenant uses. It never rejects a task.

// quotas counts the requested cores of each tenant. It includes the accepted tasks of this scheduler that
// have not ended.
type quotas struct {
	*environment
	fleet         *fleet
	tenantIndexes map[string]int // index in Settings.Tenants, by name
	tenantCores   []float64
	totalCores    float64
}

func newQuotas(env *environment, fleet *fleet) *quotas {
	q := &quotas{environment: env, fleet: fleet,
		tenantIndexes: map[string]int{}, tenantCores: make([]float64, len(env.settings.Tenants))}
	for i, tenant := range env.settings.Tenants {
		q.tenantIndexes[tenant.Name] = i
	}
	return q
}

// start adds a task that a worker accepted, or that was adopted, to the counts.
func (q *quotas) start(task *taskInfo) { q.add(task.Tenant, task.Cores) }

// end removes a task that has ended from the counts.
func (q *quotas) end(task *taskInfo) { q.add(task.Tenant, -task.Cores) }

func (q *quotas) add(tenant string, cores float64) {
	q.totalCores += cores
	if i, ok := q.tenantIndexes[tenant]; ok {
		q.tenantCores[i] += cores
	}
}

// exceeded estimates whether a tenant is over its quota. The scheduler knows only its own tasks, so it
// assumes that the tenant's share of the cores requested in the whole fleet equals the tenant's share among
// these tasks. The result is false for a tenant without a quota, and if the counted tasks request no cores.
func (q *quotas) exceeded(tenant string) bool {
	i, ok := q.tenantIndexes[tenant]
	if !ok || q.totalCores <= 0 || q.settings.Tenants[i].QuotaCores <= 0 {
		return false
	}
	return q.tenantCores[i]/q.totalCores*q.fleet.totalRequestedCores() > q.settings.Tenants[i].QuotaCores
}
