// Package sycamorerun defines the core types of the configuration distribution
// system: the settings tree and its items, versions, changes and instances.
package sycamorerun
