package contract

import "fmt"

// checkServices reports names and ports that several services have in common.
func (r *documentReader) checkServices(services []serviceDocument) {
	names := make(map[string]string)
	ports := make(map[uint16]string)
	for i, s := range services {
		path := fmt.Sprintf("services[%d]", i)
		r.checkUnique(path+".name", s.Name, names)
		if s.Port == 0 {
			continue
		}
		if first, ok := ports[s.Port]; ok {
			r.addViolation(path+".port", "%d is already used by %s; want a unique port", s.Port, first)
			continue
		}
		ports[s.Port] = path + ".port"
	}
}

// checkUnique reports a value that an earlier entry already has. An empty value
// has already been reported.
func (r *documentReader) checkUnique(path, value string, seen map[string]string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		r.addViolation(path, "%q is already used by %s; want a unique value", value, first)
		return
	}
	seen[value] = path
}

// checkKinds reports names and matchers that several kinds have in common. It
// also reports guaranteed shares that exceed the ceiling or sum to more than 1.
func (r *documentReader) checkKinds(path string, kinds []kindDocument) {
	names := make(map[string]string)
	matchers := make(map[string]string)
	sum := 0.0
	for i, k := range kinds {
		kindPath := fmt.Sprintf("%s.kinds[%d]", path, i)
		r.checkUnique(kindPath+".name", k.Name, names)
		if k.Method != "" && k.PathPrefix != "" {
			r.checkUnique(kindPath+".path-prefix", k.Method+" "+k.PathPrefix, matchers)
		}
		if k.GuaranteedShare > k.Ceiling {
			r.addViolation(kindPath+".guaranteed-share", "%g is above the ceiling; want at most %g", k.GuaranteedShare, k.Ceiling)
		}
		sum += k.GuaranteedShare
	}
	if sum > 1+shareTolerance {
		r.addViolation(path+".kinds", "guaranteed shares sum to %g; want at most 1", sum)
	}
}
