package server

import (
	"github.com/dillchute/dillchute/consensus"
	"github.com/dillchute/dillchute/directory"
	"github.com/dillchute/dillchute/runner"
)

// runnerStores returns the stores that may act as runners. They include the named leader, which may hold
// runs of an earlier leader.
func runnerStores(catalog *directory.Catalog, leader string) []runner.Store {
	group := consensus.Membership{Members: catalog.Group.Members}
	var stores []runner.Store
	for name, store := range catalog.Stores {
		if store.Retiring || store.Retired {
			continue
		}
		_, isMember := group.Member(store.Replica)
		stores = append(stores, runner.Store{Name: name, Address: store.Address, Zone: store.Zone, Member: isMember, Leader: name == leader})
	}
	return stores
}
