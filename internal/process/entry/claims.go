package entry

import (
	"github.com/pumiceyard/pumiceyard/internal/process/claims"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
)

// Capacity of the platform's store over all its clients, and the number of entry
// VMs that share it.
const (
	storeReadsPerSecond  = 2000
	storeWritesPerSecond = 300
	storeCallers         = 8
)

// newStore returns this VM's store client.
func (vm *VM) newStore() *storeclient.Client {
	return storeclient.New(vm.platform, storeclient.Options{
		StoreReadsPerSecond:  storeReadsPerSecond,
		StoreWritesPerSecond: storeWritesPerSecond,
		Fleet:                storeCallers,
		Seed:                 vm.incarnation,
	})
}

// newClaims returns the component that binds callers' idempotency keys to tickets.
func (vm *VM) newClaims(store *storeclient.Client) *claims.Claims {
	s := claims.Defaults()
	s.PerSecond = float64(vm.settings.ClaimsPerSecond)
	return claims.New(s, store)
}
