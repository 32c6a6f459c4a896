package rtdocument

import (
	"fmt"
	"math"
	"sort"
	"strings"

	"github.com/rhubarbtally/rhubarbtally/internal/rtfinding"
	"github.com/rhubarbtally/rhubarbtally/internal/rtid"
)

// shareTolerance allows for the rounding of decimal shares: ten times 0.1 must
// not count as more than the whole service.
const shareTolerance = 1e-9

// Check validates a document and returns all findings, with JSON paths as
// locations.
func Check(document *Document) rtfinding.List {
	c := checker{document: document, services: make(map[rtid.Service]bool)}
	for i := range document.Services {
		c.services[document.Services[i].Name] = true
	}
	c.revision()
	c.organisations()
	c.declaredServices()
	c.zones()
	c.shares()
	return c.findings.list
}

type checker struct {
	document *Document
	services map[rtid.Service]bool // names of the declared services
	findings limitedList
}

func (c *checker) add(path, format string, args ...any) {
	c.findings.add(rtfinding.Location{Field: path}, format, args...)
}

func (c *checker) revision() {
	if c.document.Revision <= c.document.Base {
		c.add("revision", "revision %d is not greater than base %d", c.document.Revision, c.document.Base)
	}
}

func (c *checker) organisations() {
	seen := make(map[string]bool)
	for i := range c.document.Organisations {
		o := &c.document.Organisations[i]
		path := fmt.Sprintf("organisations[%d]", i)
		c.name(path+".name", string(o.Name), seen)
		c.share(path+".share", o.Share)
		allowed := make(map[rtid.Service]bool)
		for j, service := range o.Services {
			c.checkAllowedService(fmt.Sprintf("%s.services[%d]", path, j), service, allowed)
		}
		for _, service := range sortedKeys(o.Shares) {
			key := path + ".shares." + string(service)
			if !allowed[service] {
				c.add(key, "service %q is not among the services of the organisation", service)
			}
			c.share(key, o.Shares[service])
		}
	}
}

func (c *checker) checkAllowedService(path string, service rtid.Service, seen map[rtid.Service]bool) {
	switch {
	case seen[service]:
		c.add(path, "service %q is given twice", service)
	case !c.services[service]:
		c.add(path, "service %q is not declared", service)
	}
	seen[service] = true
}

func (c *checker) share(path string, share float64) {
	if !(share > 0 && share <= 1) { // also refuses NaN
		c.add(path, "share %v is not over 0 and at most 1", share)
	}
}

func (c *checker) declaredServices() {
	seen := make(map[string]bool)
	for i := range c.document.Services {
		s := &c.document.Services[i]
		path := fmt.Sprintf("services[%d]", i)
		c.name(path+".name", string(s.Name), seen)
		switch s.Kind {
		case KindDraft:
			if !ValidModel(s.Model) {
				c.add(path+".model", "model %q of a service of kind %q: %s", s.Model, KindDraft, modelRule)
			}
		case KindOrder:
			if s.Model != "" {
				c.add(path+".model", "service of kind %q has a model", KindOrder)
			}
		default:
			c.add(path+".kind", "kind %q is not %q or %q", s.Kind, KindDraft, KindOrder)
		}
	}
}

func (c *checker) zones() {
	seen := make(map[string]bool)
	in := 0
	for i := range c.document.Zones {
		z := &c.document.Zones[i]
		path := fmt.Sprintf("zones[%d]", i)
		c.name(path+".name", string(z.Name), seen)
		switch z.State {
		case ZoneInService:
			in++
		case ZoneOutOfService:
		default:
			c.add(path+".state", "state %q is not %q or %q", z.State, ZoneInService, ZoneOutOfService)
		}
		c.capacity(path+".capacity", z.Capacity)
	}
	if in == 0 {
		c.findings.list.Warn(rtfinding.Location{Field: "zones"}, "no availability zone is in")
	}
}

func (c *checker) capacity(path string, capacity map[rtid.Service]float64) {
	for _, service := range sortedKeys(capacity) {
		key := path + "." + string(service)
		if !c.services[service] {
			c.add(key, "service %q is not declared", service)
		}
		if number := capacity[service]; !(number >= 0) || math.IsInf(number, 0) { // also refuses NaN
			c.add(key, "capacity %v is not a finite number of at least 0", number)
		}
	}
}

// shares checks that the planned shares of each service add up to at most 1.
func (c *checker) shares() {
	sums := make(map[rtid.Service]float64)
	for i := range c.document.Organisations {
		o := &c.document.Organisations[i]
		counted := make(map[rtid.Service]bool, len(o.Services))
		for _, service := range o.Services {
			if !counted[service] {
				sums[service] += o.ShareOf(service)
			}
			counted[service] = true
		}
	}
	for i := range c.document.Services {
		name := c.document.Services[i].Name
		if sums[name] > 1+shareTolerance {
			c.add(fmt.Sprintf("services[%d]", i), "shares of service %q add up to %.6g, at most 1 is possible", name, sums[name])
		}
	}
}

func (c *checker) name(path, name string, seen map[string]bool) {
	switch {
	case !rtid.ValidName(name):
		c.add(path, "name %q: %s", name, nameRule)
	case seen[name]:
		c.add(path, "name %q is given twice", name)
	}
	seen[name] = true
}

// Rules for names, as findings state them.
const (
	nameRule  = "want 1 to 64 letters, digits, hyphens and underscores"
	modelRule = "want 1 to 64 letters, digits, dots, hyphens and underscores, not beginning with a dot"
)

// ValidModel reports whether a model's name is safe in the URLs of the weight
// store. Dots are allowed because names of models contain versions.
func ValidModel(model rtid.Model) bool {
	name := string(model)
	return !strings.HasPrefix(name, ".") && rtid.ValidName(strings.ReplaceAll(name, ".", "-"))
}

func sortedKeys(m map[rtid.Service]float64) []rtid.Service {
	keys := make([]rtid.Service, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
