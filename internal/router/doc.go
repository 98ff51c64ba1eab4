// Package router chooses the upstream for a call.
//
// The product policy takes the candidate with the lowest predicted program
// latency plus weighted waste. Latency is the predicted wait, the delay between
// regions, the prefill of the tokens that are not cached there and the output.
// Waste is tokens that are computed again and bytes sent between regions.
// The other policies are baselines for measurements.
//
// The package is pure: time, load and random numbers are arguments.
package router
