package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Keys of the site in the store.
const (
	Prefix       = "pumiceyard/site/"
	memberPrefix = Prefix + "vm/"
	shardPrefix  = Prefix + "shard/"
	domainPrefix = Prefix + "domain/"
)

// DomainKey returns the key of a failure domain's shard layout.
func DomainKey(domain string) string { return domainPrefix + domain }

// ShardLayout is the number of shards of a failure domain. It is written once: another number would
// assign many workers to other shards, and so to other holders.
type ShardLayout struct {
	Domain string `json:"-"`
	Shards int    `json:"n"`
}

// A VM of 0.4 core can hold a full shard of 24 workers. With two to three short tasks at a time each, these
// workers make some 300 starts a second, which take a quarter of a core; one holder of 88 workers
// took 0.43 core. Domains with smaller VMs get smaller shards, as any VM may have to hold one: with 20
// workers on a VM of 0.12 core, tasks waited 42 ms on average for their start, a third of their
// latency objective.
const (
	maxWorkersPerShard = 24
	minWorkersPerShard = 6 // so that a submission of many parallel tasks fits into one shard
	coresPerFullShard  = 0.4
)

// maxShardsPerDomain bounds the shards of a domain, enough for 24,000 workers. A stored layout with more is
// invalid.
const maxShardsPerDomain = 1000

var errShardCount = errors.New("number of shards is not from 1 to 1000")

// PlanLayout returns the shard layout for a domain with the given number of workers. minCores is the size
// of the domain's smallest entry VM in cores; 0: not known.
func PlanLayout(domain string, workers int, minCores float64) ShardLayout {
	size := maxWorkersPerShard
	if minCores > 0 {
		size = min(max(int(minCores/coresPerFullShard*maxWorkersPerShard), minWorkersPerShard), maxWorkersPerShard)
	}
	return ShardLayout{Domain: domain, Shards: min(max((workers+size-1)/size, 1), maxShardsPerDomain)}
}

// ShardName returns the name of a shard of a failure domain.
func ShardName(domain string, number int) string { return domain + "/" + strconv.Itoa(number) }

// DomainOf returns the failure domain of a shard.
func DomainOf(shard string) string {
	if i := strings.LastIndexByte(shard, '/'); i >= 0 {
		return shard[:i]
	}
	return shard
}

// ShardOf returns the shard of the worker at an address. A worker that restarts at the same address stays
// in its shard.
func (d ShardLayout) ShardOf(address string) string {
	best, maxHash := 0, uint64(0)
	for i := range d.Shards {
		if s := rendezvousHash(ShardName(d.Domain, i), address); s >= maxHash {
			best, maxHash = i, s
		}
	}
	return ShardName(d.Domain, best)
}

// MemberKey returns the key of an entry VM, which is bound to the VM's lease.
func MemberKey(name string) string { return memberPrefix + name }

// ShardKey returns the key of a shard's holder.
func ShardKey(shard string) string { return shardPrefix + shard }

// Member is an entry VM of the site, as it describes itself in its key.
type Member struct {
	Name        string `json:"-"`
	Incarnation uint64 `json:"i"` // of its process; each start has a new one
	Domain      string `json:"d"`
	Address     string `json:"a"` // where other entry VMs open links to it
	// Cores is the CPU of the VM; 0: not known. Larger VMs hold more shards.
	Cores float64 `json:"w,omitempty"`
}

// Holding records which process holds a shard.
type Holding struct {
	Shard       string `json:"-"`
	Revision    uint64 `json:"-"` // of the key; 0: the shard never had a holder
	Holder      string `json:"h"`
	Incarnation uint64 `json:"i"`
	Token       uint64 `json:"t"` // fencing token
	// PredecessorStopped says that the previous holder certainly starts no more runs in this shard and extends no
	// lease there: there was none, or its process had ended. One that hands the shard over goes on until it learns
	// that its claim is stored.
	PredecessorStopped bool `json:"c,omitempty"`
}

// Encode returns the stored form of a value. It panics on a value without a JSON form.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("site: cannot encode a value as JSON: " + err.Error())
	}
	return b
}

// DecodeError reports a key of the site whose value is invalid.
type DecodeError struct {
	Key string
	Err error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("key %s: %v", e.Key, e.Err) }

func (e *DecodeError) Unwrap() error { return e.Err }
