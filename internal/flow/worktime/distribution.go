package worktime

import "math"

const (
	// bucketsPerDoubling is the number of buckets between a time and its double. The mean of
	// each bucket is exact, so this only limits quantiles and shifts, to 9%.
	bucketsPerDoubling = 4
	// bucketCount buckets cover minSample to maxSample.
	bucketCount = 60
	// minSample and maxSample bound a measured work time in milliseconds. The clock counts
	// whole milliseconds, and a request without a response is given up after 5 s.
	minSample = 0.5
	maxSample = 10_000
	// memory is the number of samples after which the weight of an older one has fallen to
	// 1/e. With 3% of the requests costing seven times as much, 8 of 10 readings of the mean
	// are then within 8%.
	memory = 128
	// shiftedWeight is the largest weight of all samples before a change of speed, so that the
	// samples after it soon outweigh them.
	shiftedWeight = 8
	// minWeight is the weight below which the samples of a bucket are dropped.
	minWeight = 1e-6
	// priorWeight is the weight of the mean that is assumed without samples.
	priorWeight = 0.25
	// tailWeight is the weight of the assumption that a request which has run longer than all
	// others takes as long again. Without it, a request beyond the longest sample would count
	// as done.
	tailWeight = 0.5
	// maxRemainingFactor bounds the expected remaining time of one request in means, so that
	// one that hangs does not outweigh the work of the others.
	maxRemainingFactor = 8
)

// distribution is a histogram of work times in milliseconds with logarithmic buckets, in
// which older samples lose weight. A change of speed by a factor moves its contents by a
// number of buckets. It takes less than 500 bytes. The zero value holds no samples.
type distribution struct {
	// weights holds the weight of the samples of each bucket, and sums their weighted sum.
	weights, sums [bucketCount]float32
	weight, sum   float64
	// held and heldSum are the number and sum of samples that count for the mean only, until
	// they are added.
	held, heldSum float64
}

// clampSample returns a work time in milliseconds within the bounds of samples.
func clampSample(sample float64) float64 { return min(max(sample, minSample), maxSample) }

func bucketOf(sample float64) int {
	return min(max(int(math.Round(math.Log2(clampSample(sample)/minSample)*bucketsPerDoubling)), 0), bucketCount-1)
}

// add adds a sample.
func (d *distribution) add(sample float64) {
	d.scale(1 - 1.0/memory)
	i := bucketOf(sample)
	d.weights[i]++
	d.sums[i] += float32(sample)
	d.weight++
	d.sum += sample
}

// hold counts a sample for the mean, and release ends that.
func (d *distribution) hold(sample float64) {
	d.held++
	d.heldSum += sample
}

func (d *distribution) release(sample float64) {
	d.held--
	d.heldSum -= sample
}

// scale multiplies the weight of all samples. Buckets of negligible weight become empty.
func (d *distribution) scale(factor float64) {
	for i := range d.weights {
		if d.weights[i] < minWeight {
			d.weights[i], d.sums[i] = 0, 0
			continue
		}
		d.weights[i] *= float32(factor)
		d.sums[i] *= float32(factor)
	}
	d.weight *= factor
	d.sum *= factor
}

// limit reduces the weight of all samples to at most a maximum.
func (d *distribution) limit(maximum float64) {
	if d.weight > maximum {
		d.scale(maximum / d.weight)
	}
}

// mean returns the mean of the samples. prior is the mean that is assumed without samples.
func (d *distribution) mean(prior float64) float64 {
	return (d.sum + d.heldSum + priorWeight*prior) / (d.weight + d.held + priorWeight)
}

// ranks returns the shares of the samples that are certainly below a given one and certainly
// above it. Samples in the same bucket are neither.
func (d *distribution) ranks(sample float64) (below, above float64) {
	i := bucketOf(sample)
	for j, w := range d.weights {
		if j < i {
			below += float64(w)
		} else if j > i {
			above += float64(w)
		}
	}
	return below / d.weight, above / d.weight
}

// quantile returns the time that a share of the samples does not exceed, 0 without samples.
func (d *distribution) quantile(share float64) float64 {
	below := 0.0
	for i, w := range d.weights {
		below += float64(w)
		if w > 0 && below >= share*d.weight {
			return float64(d.sums[i] / w)
		}
	}
	return 0
}

// remaining returns the expected remaining time of a request that has run for a time. prior
// is the mean that is assumed without samples.
func (d *distribution) remaining(age, prior float64) float64 {
	mean := d.mean(prior)
	weight, sum := tailWeight, tailWeight*max(mean-age, age)
	for i := bucketOf(age); i < bucketCount; i++ {
		w := float64(d.weights[i])
		if rest := float64(d.sums[i]) - w*age; rest > 0 {
			weight += w
			sum += rest
		}
	}
	return min(sum/weight, maxRemainingFactor*mean)
}

// shift multiplies all samples by a factor, rounded to whole buckets, and limits their
// weight to shiftedWeight.
func (d *distribution) shift(factor float64) {
	buckets := int(math.Round(math.Log2(factor) * bucketsPerDoubling))
	factor = math.Exp2(float64(buckets) / bucketsPerDoubling)
	before := *d
	*d = distribution{held: d.held, heldSum: d.heldSum}
	for i, w := range before.weights {
		if w == 0 {
			continue
		}
		to := min(max(i+buckets, 0), bucketCount-1)
		sum := float64(w) * clampSample(float64(before.sums[i]/w)*factor)
		d.weights[to] += w
		d.sums[to] += float32(sum)
		d.weight += float64(w)
		d.sum += sum
	}
	d.limit(shiftedWeight)
}
