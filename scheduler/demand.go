package scheduler

import (
	"cmp"
	"slices"

	"github.com/dillchute/dillchute/capacity"
)

// demandGrain is the difference between times due, in milliseconds, that are told as one.
const demandGrain = 500

// Demand returns what the samples of the open steps need, for each service. A sample that several
// services may run counts for the first of them. While the first runs are under way and have not shown
// how fast engines are, nothing is said of the work; before, these are taken to be as fast as usual.
func (s *Scheduler) Demand(now int64, serviceOf ServicesFunc) []capacity.Demand {
	demands := map[string]*capacity.Demand{}
	work := map[string]map[int64]float64{}
	for _, state := range s.steps {
		for _, task := range state.tasks {
			if task.State != Waiting && task.State != Running {
				continue
			}
			services, ok := serviceOf(task)
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
			due := (task.Step.DueAt - now) / demandGrain * demandGrain
			work[name][due] += task.remaining(task.seen()) * s.paceOrDefault()
		}
	}
	paced := s.middlePace > 0
	list := make([]capacity.Demand, 0, len(demands))
	for name, demand := range demands {
		if !paced && demand.Running > 0 {
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
