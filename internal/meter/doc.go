// Package meter has the metrics of one entry VM.
//
// Histograms of calls and programs have the labels team and class. The first
// teams and classes that are seen, up to a limit, have labels of their own; all
// later ones share the label "other", so that the number of series is bounded.
package meter
