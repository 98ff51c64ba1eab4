// Package poolestimator estimates the usual figures of the engines of a pool from the
// calls of this VM: the time to the first event by the prompt tokens that are not
// cached, the time between events, how much a larger batch slows it down, and the time
// that an answer takes.
//
// Nothing is known of the engines in advance. Until enough calls have been seen, neutral
// priors stand for the figures, and observations outweigh them gradually. A figure that
// was not observed for ten minutes is forgotten.
package poolestimator
