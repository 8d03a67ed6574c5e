package server

import (
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/runner"
)

// runnersOf returns the stores that may hold streams for the leader of the name. The
// leader itself is one of them: it may hold streams of an earlier leader.
func runnersOf(catalog *directory.Catalog, leader string) []runner.Store {
	group := consensus.Membership{Members: catalog.Group.Members}
	var stores []runner.Store
	for name, store := range catalog.Stores {
		if store.Retiring || store.Retired {
			continue
		}
		_, member := group.Member(store.Replica)
		stores = append(stores, runner.Store{Name: name, Address: store.Address, Zone: store.Zone, Member: member, Leader: name == leader})
	}
	return stores
}
