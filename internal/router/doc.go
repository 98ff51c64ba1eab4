// Package router chooses the upstream for a call.
//
// The default policy, LowestCost, chooses the candidate with the lowest predicted
// program latency plus weighted waste. Latency is the predicted wait, the round trip
// between regions, the prefill of the tokens that are not cached at the candidate
// and the generation of the output. Waste is recomputed tokens and bytes sent
// between regions. The other policies are baselines for measurements.
//
// The package is pure: time, load and random numbers are arguments.
package router
