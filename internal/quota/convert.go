package quota

import (
	"github.com/brookwalk/brookwalk/internal/quota/amount"
	"github.com/brookwalk/brookwalk/internal/quota/balance"
	"github.com/brookwalk/brookwalk/internal/quota/ledger"
	"github.com/brookwalk/brookwalk/wire"
)

// The functions below convert between the messages of regions and the types of packages ledger and
// balance.

func offerFromWire(offer wire.RegionOffer, region int) balance.Offer {
	return balance.Offer{
		Region:       region,
		Amount:       amount.Amount{CPUs: offer.CPUs, GPUs: offer.GPUs},
		Contested:    offer.Contested,
		GangPriority: offer.GangRank,
	}
}

// claimFromWire replaces negative amounts by 0, although no region sends them.
func claimFromWire(claim wire.RegionClaim, region int) balance.Claim {
	return balance.Claim{
		Need:     amount.Amount{CPUs: claim.NeedCPUs, GPUs: claim.NeedGPUs}.NonNegative(),
		Reserve:  amount.Amount{CPUs: claim.ReserveCPUs, GPUs: claim.ReserveGPUs}.NonNegative(),
		Priority: claim.Rank,
		Gang:     claim.Gang,
		Region:   region,
	}
}

func claimToWire(claim balance.Claim, team string) wire.RegionClaim {
	return wire.RegionClaim{
		Team:        team,
		NeedCPUs:    claim.Need.CPUs,
		NeedGPUs:    claim.Need.GPUs,
		ReserveCPUs: claim.Reserve.CPUs,
		ReserveGPUs: claim.Reserve.GPUs,
		Rank:        claim.Priority,
		Gang:        claim.Gang,
	}
}

func transferFromWire(transfer *wire.RegionTransfer) ledger.Transfer {
	converted := ledger.Transfer{Number: transfer.Number}
	for _, share := range transfer.Parts {
		part := ledger.Part{Team: share.Team, Amount: amount.Amount{CPUs: share.CPUs, GPUs: share.GPUs}}
		converted.Parts = append(converted.Parts, part)
	}
	return converted
}

func transferToWire(transfer ledger.Transfer) wire.RegionTransfer {
	converted := wire.RegionTransfer{Number: transfer.Number}
	for _, part := range transfer.Parts {
		share := wire.RegionShare{Team: part.Team, CPUs: part.Amount.CPUs, GPUs: part.Amount.GPUs}
		converted.Parts = append(converted.Parts, share)
	}
	return converted
}
