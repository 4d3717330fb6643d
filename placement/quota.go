package placement

// This file owns what tenants have of their quotas. It must never reject a task.

// quotas counts the cores of running tasks, by tenant.
type quotas struct {
	*environment
	fleet         *fleet
	tenantIndexes map[string]int
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

// start counts a task that runs.
func (q *quotas) start(task *taskInfo) { q.add(task.Tenant, task.Cores) }

// end counts a task that runs no longer.
func (q *quotas) end(task *taskInfo) { q.add(task.Tenant, -task.Cores) }

func (q *quotas) add(tenant string, cores float64) {
	q.totalCores += cores
	if i, ok := q.tenantIndexes[tenant]; ok {
		q.tenantCores[i] += cores
	}
}

// exceeded guesses whether a tenant is beyond its quota, from its part of own tasks and what
// is requested of the fleet.
func (q *quotas) exceeded(tenant string) bool {
	i, ok := q.tenantIndexes[tenant]
	if !ok || q.totalCores <= 0 || q.settings.Tenants[i].QuotaCores <= 0 {
		return false
	}
	return q.tenantCores[i]/q.totalCores*q.fleet.totalRequestedCores() > q.settings.Tenants[i].QuotaCores
}
