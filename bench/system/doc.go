// Package system tests the behavior of a fleet of real processes under failures.
package system
