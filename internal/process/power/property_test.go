package power

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const (
	propertySeed  = 20261202
	propertyRuns  = 300
	propertySteps = 400
)

// twoDomains is a site of two domains whose parts are tight: 4 workers could
// draw 1.6 kW in each, and 1 kW is allowed.
func twoDomains(f fault) (*Site, []*model) {
	site := &Site{Cap: 2_000_000, Domains: []DomainPart{
		{Domain: "a", Part: 1_000_000, Held: 1_000_000},
		{Domain: "b", Part: 1_000_000, Held: 1_000_000},
	}}
	models := []*model{newModel(site, "a", 3, 4, f), newModel(site, "b", 2, 4, f)}
	for _, m := range models {
		for i, w := range m.workers {
			m.acquire(w, m.vms[i%len(m.vms)])
		}
		m.publish(0)
		m.quiet(8)
	}
	return site, models
}

// step applies one event, chosen by the operation code and its argument.
func step(m *model, op, arg int) {
	w := m.workers[arg%len(m.workers)]
	vm := m.vms[arg/4%len(m.vms)]
	switch op % 20 {
	case 0, 1, 2:
		if w.holder != nil {
			vm = w.holder
		}
		m.charge(vm, w, Milliwatts(arg%7+1)*30_000)
	case 3:
		w.endFirst()
	case 4, 5:
		m.stepWorker(w)
	case 6, 7:
		m.stepHolder(w)
	case 8, 9, 10:
		if len(m.net) > 0 {
			m.deliver(arg%len(m.net), op%20 == 10)
		}
	case 11:
		if len(m.net) > 0 {
			m.net = m.net[1:]
		}
	case 12, 13:
		m.tick(time.Duration(arg%50) * 5 * time.Millisecond)
	case 14:
		m.gossip()
	case 15:
		m.lapse(w, arg%3 > 0)
	case 16:
		m.acquire(w, vm)
	case 17:
		vm.paused = !vm.paused
	case 18:
		m.hear(vm)
	case 19:
		rareStep(m, arg)
	}
}

// rareStep applies the events that are rarer in life.
func rareStep(m *model, arg int) {
	switch arg % 8 {
	case 0:
		m.restartWorker(m.workers[arg/8%len(m.workers)])
	case 1:
		m.replaceVM(arg / 8 % len(m.vms))
	case 2:
		m.publish(0)
	case 3:
		m.publish(1 << (arg / 8 % len(m.workers)))
	case 4:
		m.setPart(800_000)
	case 5:
		m.setPart(1_200_000)
	case 6:
		m.confirm()
	case 7:
		m.drain()
		m.quiet(2)
	}
}

// setPart moves the domain's part and publishes it; the site refuses a raise
// that another domain has not made room for.
func (m *model) setPart(part Milliwatts) {
	next, err := m.site.SetPart(m.domain, part)
	if err != nil {
		return
	}
	*m.site = next
	m.publish(0)
}

// runSteps applies the events and checks after each.
func runSteps(f fault, codes []uint32) (moved Milliwatts, err error) {
	_, models := twoDomains(f)
	for _, code := range codes {
		m := models[code%2]
		step(m, int(code/2%20), int(code/64%100_000))
		for _, each := range models {
			if err := each.check(); err != nil {
				return 0, err
			}
		}
	}
	return models[0].moved + models[1].moved, nil
}

func parameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(propertySeed)
	p.MinSuccessfulTests = propertyRuns
	p.MaxShrinkCount = 0
	return p
}

func events() gopter.Gen { return gen.SliceOfN(propertySteps, gen.UInt32()) }

// Symptom: the site draws more than its cap. Sequence: any order of starts,
// lapsed leases, paused, replaced and silent holders, restarted workers,
// lowered and raised parts, and lost, doubled or late messages between entry
// VMs. Cause would be a step that counts the same watts at two places.
func TestAllotmentsNeverPassTheCap(t *testing.T) {
	var moved Milliwatts
	properties := gopter.NewProperties(parameters())
	properties.Property("allotments and draw stay within the cap", prop.ForAll(
		func(codes []uint32) (bool, error) {
			m, err := runSteps(noFault, codes)
			moved += m
			return err == nil, err
		}, events()))
	properties.TestingRun(t)
	if moved == 0 {
		t.Fatal("no run moved watts between entry VMs: the property was not tried")
	}
	t.Logf("%d W moved between entry VMs", moved/1000)
}

// Symptom: a check that passes whatever the code does. Each sequence runs the
// same events with one deliberate error, which the property has to notice.
func TestPropertySeesDeliberateFaults(t *testing.T) {
	faults := map[string]fault{
		"take before give":          takeBeforeGive,
		"lapsed watts reused":       lapsedWattsReused,
		"transfer taken twice":      transferTakenTwice,
		"restore before completion": restoreBeforeComplete,
	}
	for name, f := range faults {
		t.Run(name, func(t *testing.T) {
			property := prop.ForAll(func(codes []uint32) bool {
				_, err := runSteps(f, codes)
				return err == nil
			}, events())
			if property.Check(parameters()).Passed() {
				t.Fatal("the property passes although the fault is there")
			}
		})
	}
}
