// Package configchecker checks a configuration before operators send it, and describes
// what it changes for callers.
//
// It decides on decoded values and knows no field names of a document. A decoder turns
// the place of a finding into the words of its document.
package configchecker
