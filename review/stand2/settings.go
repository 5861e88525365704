//go:build review2

package main

import (
	"fmt"

	"github.com/brookwalk/brookwalk/internal/config"
)

// The settings of a small deployment, like those of the operators' pages.
const (
	reportS = 1.5
	leaseS  = 10
	cancelS = 35
)

// deployment returns the settings that all controllers of a region share.
func deployment(teams ...config.Team) config.Deployment {
	return config.Deployment{
		Size:    3,
		Zones:   []string{"a", "b", "c"},
		SkewMs:  1000,
		Teams:   teams,
		Workers: config.WorkerTimings{ReportS: reportS, LeaseS: leaseS, GangWaitS: 50, GangPeerS: 8, CancelS: cancelS},
		Store:   config.StoreLimits{RPS: 250, WriteRPS: 100, ValueKB: 16, TxnOps: 16},
		Cloud:   config.CloudLimits{RPS: 8, ListLagS: 5},
		MachineLimits: config.MachineLimits{
			CPU: 0.5, RAMMB: 200, MaxConnections: 800,
		},
	}
}

// controllerSettings returns the settings of the controllers of a region.
func controllerSettings(r *run, region, store, cloud string, shared config.Deployment) ([]config.Settings, error) {
	listen, err := r.addresses(shared.Size)
	if err != nil {
		return nil, err
	}
	back, err := r.addresses(shared.Size)
	if err != nil {
		return nil, err
	}
	all := make([]config.Settings, shared.Size)
	for i := range all {
		all[i] = config.Settings{
			Name: fmt.Sprintf("%s-%d", region, i), Zone: shared.Zones[i%len(shared.Zones)],
			Listen: listen[i], PeerListen: back[i],
			External: config.External{Cloud: cloud, Store: store}, Deployment: shared,
		}
		for k := range all {
			if k != i {
				all[i].Peers = append(all[i].Peers, config.Peer{Name: fmt.Sprintf("%s-%d", region, k), Zone: shared.Zones[k%len(shared.Zones)], Addr: back[k]})
			}
		}
	}
	return all, nil
}
