package poolestimator

import "math"

// maxDeviation is the largest distance of an observation from the mean in standard
// deviations. The weight of an observation in the slope grows with the square of it.
const maxDeviation = 4

// line is a regression line over recent observations, whose weights decay
// exponentially. The prior slope stands for priorWeight observations at a distance of
// spread from their mean.
type line struct {
	decay       float64
	spread      float64
	priorWeight float64

	weight, x, y float64
	// xx and xy are the weighted sums of squared and mixed deviations from the means.
	xx, xy float64
}

// furthest returns the largest x that may be observed.
func (l *line) furthest() float64 {
	deviation := l.spread
	if l.weight > 0 {
		deviation = max(deviation, math.Sqrt(l.xx/l.weight))
	}
	return l.x + maxDeviation*deviation
}

// observe adds a point.
func (l *line) observe(x, y float64) {
	l.weight, l.xx, l.xy = l.weight*l.decay, l.xx*l.decay, l.xy*l.decay
	l.weight++
	dx, dy := x-l.x, y-l.y
	l.x += dx / l.weight
	l.y += dy / l.weight
	l.xx += dx * (x - l.x)
	l.xy += dx * (y - l.y)
}

// slope returns the slope of the line, drawn to a prior one.
func (l *line) slope(prior float64) float64 {
	strength := l.priorWeight * l.spread * l.spread
	return (l.xy + strength*prior) / (l.xx + strength)
}

// at returns the value of the line with a slope.
func (l *line) at(x, slope float64) float64 { return l.y + slope*(x-l.x) }
