// Package meter collects the metrics of one entry VM.
//
// Histograms of calls and programs have the labels team and class. To bound the
// number of series, only the first teams and classes, up to a limit, have labels of
// their own; all later ones share the label "other".
package meter
