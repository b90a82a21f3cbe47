package placement

import (
	"math"
	"time"
)

// Parameters of runTimes.
const (
	// runTimeBuckets buckets of a quarter of an octave each cover 1 ms to 65 s.
	runTimeBuckets   = 64
	bucketsPerOctave = 4
	// runTimeGrowth is the weight of a run relative to the one before: the last 1,000 runs or so count.
	runTimeGrowth = 1.001
	maxRunWeight  = 1e6
	// minRunTimes is the number of runs from which the distribution is used.
	minRunTimes = 30
	// tailWeight is the number of runs that count as longer than any that was seen. For these the expected remaining time is the age,
	// as for a Pareto distribution with the exponent 2.
	tailWeight = 0.5
)

// runTimes is the distribution of the run times of one class at a pace of 1: a histogram with buckets of equal ratio in which old runs
// lose weight.
type runTimes struct {
	weights [runTimeBuckets]float32
	// total is the sum of the weights, and seconds that of the weighted run times. Weight is that of the last run.
	total, seconds, weight float64
}

func runTimeBucket(t time.Duration) int {
	if t <= time.Millisecond {
		return 0
	}
	return min(runTimeBuckets-1, int(bucketsPerOctave*math.Log2(float64(t)/float64(time.Millisecond))))
}

// bucketMiddles holds the middle of each bucket, in seconds.
var bucketMiddles = func() (middles [runTimeBuckets]float64) {
	for i := range middles {
		middles[i] = 1e-3 * math.Exp2((float64(i)+0.5)/bucketsPerOctave)
	}
	return middles
}()

// recordEnd records a run that took the given time, and recordCanceled one that was canceled after it. A canceled run counts as ones
// that took longer, in proportion to their frequency, since leaving out the longest runs would make all others look shorter.
func (d *runTimes) recordEnd(t time.Duration) {
	d.add(runTimeBucket(t), 1)
}

func (d *runTimes) recordCanceled(t time.Duration) {
	from := runTimeBucket(t)
	above := 0.0
	for _, w := range d.weights[from:] {
		above += float64(w)
	}
	if above <= 0 {
		d.add(from, 1)
		return
	}
	shares := d.weights
	for i := from; i < runTimeBuckets; i++ {
		if shares[i] > 0 {
			d.add(i, float64(shares[i])/above)
		}
	}
}

func (d *runTimes) add(bucket int, part float64) {
	d.weight = max(1, d.weight) * math.Pow(runTimeGrowth, part)
	d.weights[bucket] += float32(part * d.weight)
	d.total += part * d.weight
	d.seconds += part * d.weight * bucketMiddles[bucket]
	if d.weight > maxRunWeight {
		for i := range d.weights {
			d.weights[i] /= maxRunWeight
		}
		d.total, d.seconds, d.weight = d.total/maxRunWeight, d.seconds/maxRunWeight, d.weight/maxRunWeight
	}
}

// runs returns the number of runs that count, in weights of the last one.
func (d *runTimes) runs() float64 { return d.total / max(1, d.weight) }

// mean returns the mean run time; there must have been a run.
func (d *runTimes) mean() time.Duration {
	return time.Duration(d.seconds / d.total * float64(time.Second))
}

// remaining returns the expected remaining time of a run of the given age, and the probability that a run takes longer than that.
func (d *runTimes) remaining(age time.Duration) (left time.Duration, survival float64) {
	a, above, sum := age.Seconds(), 0.0, 0.0
	for i := runTimeBucket(age); i < runTimeBuckets; i++ {
		if middle := bucketMiddles[i]; middle > a {
			above += float64(d.weights[i])
			sum += float64(d.weights[i]) * (middle - a)
		}
	}
	tail := tailWeight * d.weight
	return time.Duration((sum + tail*a) / (above + tail) * float64(time.Second)), (above + tail) / (d.total + tail)
}
