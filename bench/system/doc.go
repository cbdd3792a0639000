// Package system holds the tests of failures with real processes.
package system
