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

// DomainKey is the key that says into how many shards a failure domain is divided.
func DomainKey(domain string) string { return domainPrefix + domain }

// Division says into how many shards the workers of a failure domain are divided. It is
// written once, as workers would have to change hands with it.
type ShardLayout struct {
	Domain string `json:"-"`
	Shards int    `json:"n"`
}

// A VM of 0.4 core holds 24 workers: of two to three tasks each they make some 300 starts a second
// of short tasks, which take a quarter of a core; a single holder of 88 workers took 0.43. Smaller
// VMs get smaller shards, as any of them may have to hold one: 20 workers at one VM of 0.12 core
// made tasks wait 42 ms for their start on average, a third of their objective.
const (
	maxWorkersPerShard = 24
	minWorkersPerShard = 6 // a wide submission finds room in one shard
	coresPerFullShard  = 0.4
)

// maxShardsPerDomain bounds the shards of a domain: 24,000 workers. More is no division that was
// written here.
const maxShardsPerDomain = 1000

var errShardCount = errors.New("a domain has from 1 to 1000 shards")

// Divide returns the division of a domain with so many workers, the smallest of whose entry VMs
// has so many cores; 0: it is not known.
func PlanLayout(domain string, workers int, least float64) ShardLayout {
	size := maxWorkersPerShard
	if least > 0 {
		size = min(max(int(least/coresPerFullShard*maxWorkersPerShard), minWorkersPerShard), maxWorkersPerShard)
	}
	return ShardLayout{Domain: domain, Shards: min(max((workers+size-1)/size, 1), maxShardsPerDomain)}
}

// ShardName names a shard of a failure domain.
func ShardName(domain string, number int) string { return domain + "/" + strconv.Itoa(number) }

// DomainOf is the failure domain of a shard.
func DomainOf(shard string) string {
	if i := strings.LastIndexByte(shard, '/'); i >= 0 {
		return shard[:i]
	}
	return shard
}

// ShardOf is the shard that the worker at an address belongs to. It stays the same when
// the worker starts again.
func (d ShardLayout) ShardOf(address string) string {
	best, most := 0, uint64(0)
	for i := range d.Shards {
		if s := rendezvousHash(ShardName(d.Domain, i), address); s >= most {
			best, most = i, s
		}
	}
	return ShardName(d.Domain, best)
}

// MemberKey is the leased key of an entry VM.
func MemberKey(name string) string { return memberPrefix + name }

// ShardKey is the key that names a shard's holder.
func ShardKey(shard string) string { return shardPrefix + shard }

// Member is an entry VM that is there.
type Member struct {
	Name        string `json:"-"`
	Incarnation uint64 `json:"i"` // of its process
	Domain      string `json:"d"`
	Address     string `json:"a"` // for links of other entry VMs
	// Weight is the processor of the VM, in cores. Larger VMs hold more shards.
	Cores float64 `json:"w,omitempty"`
}

// Holding says who holds a shard.
type Holding struct {
	Shard       string `json:"-"`
	Revision    uint64 `json:"-"` // of the key; 0: nobody ever held it
	Holder      string `json:"h"`
	Incarnation uint64 `json:"i"`
	Token       uint64 `json:"t"`
	// Clean says that the holder before this one starts and holds nothing any more:
	// its process had ended, or it gave the shard away itself.
	PredecessorStopped bool `json:"c,omitempty"`
}

// Encode returns the value of a key in the store.
func Encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic("site: a value has no JSON form: " + err.Error())
	}
	return b
}

// DecodeError says that a key of the site cannot be read.
type DecodeError struct {
	Key string
	Err error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("key %s: %v", e.Key, e.Err) }

func (e *DecodeError) Unwrap() error { return e.Err }
