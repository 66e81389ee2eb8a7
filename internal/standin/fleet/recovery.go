package fleet

// OpenFlowsUntil returns a function that returns how many of the flows that are open now have
// not ended at their clients yet.
func (c *Cluster) OpenFlowsUntil() func() int {
	var flows []*clientFlow
	for _, cf := range c.clientFlows {
		if cf.open && !cf.ended {
			flows = append(flows, cf)
		}
	}
	return func() int {
		count := 0
		for _, cf := range flows {
			if !cf.ended {
				count++
			}
		}
		return count
	}
}
