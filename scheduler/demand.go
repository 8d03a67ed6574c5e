package scheduler

import (
	"cmp"
	"slices"

	"github.com/dillchute/dillchute/capacity"
)

// dueGranularityMillis is the granularity to which due times are rounded.
const dueGranularityMillis = 500

// Demand returns the demand of the open steps for each service. A sample that several services may
// run counts for the first of them. Before the first runs start, engines are assumed to have the
// default pace; while they run and no pace is known yet, the work is omitted.
func (s *Scheduler) Demand(now int64, servicesOf ServicesFunc) []capacity.Demand {
	demands := map[string]*capacity.Demand{}
	work := map[string]map[int64]float64{}
	for _, state := range s.steps {
		for _, task := range state.tasks {
			if task.State != Waiting && task.State != Running {
				continue
			}
			services, ok := servicesOf(task)
			if !ok || len(services) == 0 {
				continue
			}
			name := services[0]
			if demands[name] == nil {
				demands[name], work[name] = &capacity.Demand{Service: name}, map[int64]float64{}
			}
			if task.State == Running {
				demands[name].Running++
			} else {
				demands[name].Waiting++
			}
			due := (task.Step.DueAt - now) / dueGranularityMillis * dueGranularityMillis
			work[name][due] += task.remainingEvents(task.eventsSoFar()) * s.paceOrDefault()
		}
	}
	paceKnown := s.medianPace > 0
	list := make([]capacity.Demand, 0, len(demands))
	for name, demand := range demands {
		if !paceKnown && demand.Running > 0 {
			work[name] = nil
		}
		for due, millis := range work[name] {
			demand.Work = append(demand.Work, capacity.Work{DueMillis: due, SlotMillis: millis})
		}
		slices.SortFunc(demand.Work, func(a, b capacity.Work) int { return cmp.Compare(a.DueMillis, b.DueMillis) })
		list = append(list, *demand)
	}
	slices.SortFunc(list, func(a, b capacity.Demand) int { return cmp.Compare(a.Service, b.Service) })
	return list
}
