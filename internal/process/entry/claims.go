package entry

import (
	"github.com/pumiceyard/pumiceyard/internal/process/claims"
	"github.com/pumiceyard/pumiceyard/internal/process/storeclient"
)

// What the platform's store takes, over all its callers, and the entry VMs that
// share it.
const (
	storeReadsPerSecond  = 2000
	storeWritesPerSecond = 300
	storeCallers         = 8
)

// newStore returns the store's client of this VM.
func (vm *VM) newStore() *storeclient.Client {
	return storeclient.New(vm.platform, storeclient.Options{
		StoreReadsPerSecond:  storeReadsPerSecond,
		StoreWritesPerSecond: storeWritesPerSecond,
		Fleet:                storeCallers,
		Seed:                 vm.incarnation,
	})
}

// newClaims returns the claims of callers' own keys.
func (vm *VM) newClaims(store *storeclient.Client) *claims.Claims {
	s := claims.Defaults()
	s.PerSecond = float64(vm.settings.ClaimsPerSecond)
	return claims.New(s, store)
}
